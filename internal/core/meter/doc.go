// Package meter counts what a process does and tells it in the text form that
// collectors of metrics read. Names follow their conventions: a unit at the end,
// _total for counters. What is counted when is left to the callers.
package meter
