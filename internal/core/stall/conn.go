package stall

import (
	"net"
	"time"
)

// Conn is a connection whose writes fail once the peer has read nothing for a time.
type Conn struct {
	net.Conn

	// Limit is that time; 0 is none.
	Limit time.Duration
}

// Write implements net.Conn. A connection whose peer does not read is reset: after a plain close,
// what the peer has not read would stay in the memory of the system.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := Write(c.Conn, b, c.Limit)
	if err == ErrUnread { //nolint:errorlint // Write returns it unwrapped.
		Reset(c.Conn)
	}
	return n, err
}

// SetLinger sets what becomes of unsent data when the connection is closed, as that of a TCP connection does.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Reset has the connection reset when it is closed.
func Reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that has ended already needs no reset.
		_ = tcp.SetLinger(0)
	}
}

// systemBuffer bounds what the system holds of a connection in each direction; it would hold up to
// several MB. The system doubles it for its own overhead. With 16 KiB, 4 MB took 1.7 s over
// loopback, where segments are larger than that; with 64 KiB 2 ms.
const systemBuffer = 64 << 10

// BoundSystemBuffers bounds what the system holds of a connection, where it can.
func BoundSystemBuffers(c net.Conn) {
	if tcp, ok := c.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok {
		// A connection with other buffers still works.
		_ = tcp.SetReadBuffer(systemBuffer)
		_ = tcp.SetWriteBuffer(systemBuffer)
	}
}
