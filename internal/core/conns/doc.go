// Package conns is a pool of connections to replicas. A connection carries one request at a time,
// no request is sent twice, and a connection that may carry bytes of another response is closed.
// Callers encode requests, interpret headers and decide on retries.
package conns
