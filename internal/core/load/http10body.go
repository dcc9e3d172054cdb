package load

import (
	"io"
	"net"
)

// http10Body is a response body, with which its connection is closed.
type http10Body struct {
	io.Reader
	conn net.Conn
	// stop ends the watch over the request's context.
	stop func() bool
}

// Close implements io.Closer.
func (b *http10Body) Close() error {
	b.stop()
	return b.conn.Close()
}
