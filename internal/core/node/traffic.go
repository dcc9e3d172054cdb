package node

import (
	"net"
	"sync/atomic"
)

// traffic counts bytes.
type traffic struct{ read, written atomic.Uint64 }

// countingListener counts what its connections carry.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

// SetLinger sets what becomes of unsent data when the connection is closed, as that of a TCP connection does.
func (c *countingConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.read.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.written.Add(uint64(n))
	return n, err
}
