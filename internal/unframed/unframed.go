// Package unframed lets HTTP/1.0 callers tell a response that breaks off from a whole one. Both end with
// the connection, so it is reset unless the response is complete.
package unframed

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext makes a connection known to its requests. It is the ConnContext of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// lingerer is a connection that can be reset when it is closed.
type lingerer interface {
	SetLinger(seconds int) error
}

// defaultLinger has a connection closed in order.
const defaultLinger = -1

// Guard has the connection reset when it is closed, or when the process ends, before complete is called. It does
// nothing for callers that see the end of a response in its framing.
func Guard(r *http.Request) (complete func()) {
	if r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	conn, ok := r.Context().Value(connKey{}).(lingerer)
	if !ok {
		return func() {}
	}
	// This fails only for a connection that has ended already.
	_ = conn.SetLinger(0)
	return func() { _ = conn.SetLinger(defaultLinger) }
}
