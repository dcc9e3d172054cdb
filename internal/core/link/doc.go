// Package link carries the messages of package wire over HTTP: twirp for the
// unary calls, a streamed response of length-delimited chunks for the attempts
// of requests. What the messages mean is left to relay, serve and node.
package link

import "time"

// DispatchPath is where agents take attempts.
const DispatchPath = "/graniteknot/dispatch"

// MaxMessage bounds one message, in bytes.
const MaxMessage = 72 << 20

// dialTime bounds the time to open a connection to a peer.
const dialTime = time.Second
