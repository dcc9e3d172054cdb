package gateway

import (
	"net"
	"sync"
)

// connListener is a listener that is given its connections.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// deliver hands a connection over.
func (i *connListener) deliver(c net.Conn) {
	select {
	case i.conns <- c:
	case <-i.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (i *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-i.conns:
		return c, nil
	case <-i.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (i *connListener) Close() error {
	i.once.Do(func() { close(i.done) })
	return nil
}

// Addr implements net.Listener.
func (*connListener) Addr() net.Addr { return &net.TCPAddr{} }
