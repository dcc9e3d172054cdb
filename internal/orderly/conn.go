// Package orderly tells the end of a connection that its peer closed from that of one that broke.
package orderly

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a TCP connection whose reads end with io.EOF only if its peer ended it in order. The system
// reports a broken connection to one operation only, and if that is a write, reads find a plain end.
type Conn struct {
	tcp

	// writing is held during a write, and guards broken.
	writing sync.Mutex
	// broken is the error of a write that found the connection broken.
	broken error
}

// tcp is what a TCP connection offers. It leaves out io.ReaderFrom, which would bypass Write.
type tcp interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// New returns a connection over another one, which nothing else may use from then on. Connections that are
// not TCP's are returned as they are.
func New(c net.Conn) net.Conn {
	if conn, ok := c.(tcp); ok {
		return &Conn{tcp: conn}
	}
	return c
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(b)
	if c.broken == nil && breaks(err) {
		c.broken = err
	}
	return n, err
}

// Read implements net.Conn. At the end it ends the sending side if a write is in progress, so that this returns
// and tells what it found.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.tcp.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !c.writing.TryLock() {
		// This fails only for a connection that is closed already.
		_ = c.CloseWrite()
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.broken != nil {
		return n, c.broken
	}
	return n, io.EOF
}

// breaks reports whether a write's error means that the connection broke before its peer ended it: the system
// returns EPIPE where the peer did so first.
func breaks(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
