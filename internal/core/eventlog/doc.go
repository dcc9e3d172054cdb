// Package eventlog writes structured log lines, one JSON object per event, without blocking its
// callers: lines are buffered up to a bound, and a line of its own reports how many did not fit.
// Callers choose what to log.
package eventlog
