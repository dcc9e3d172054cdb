// Package eventlog writes structured log lines, one JSON object an event, without
// ever blocking the writer: lines wait in a bounded buffer, and what does not
// fit is counted and told in a line of its own. What is worth a line is left to
// the callers.
package eventlog
