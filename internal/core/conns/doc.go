// Package conns keeps the connections to replicas: one request at a time on
// each, none sent twice, and a connection whose bytes can't be trusted any more
// is closed. How a request is written and an answer's marks are read is left to
// the callers, as is every decision to try again.
package conns
