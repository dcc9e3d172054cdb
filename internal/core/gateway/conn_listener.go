package gateway

import (
	"net"
	"sync"
)

// connListener is a net.Listener whose connections are passed to deliver.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// deliver passes a connection to Accept, or closes it if the listener is closed.
func (l *connListener) deliver(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (*connListener) Addr() net.Addr { return &net.TCPAddr{} }
