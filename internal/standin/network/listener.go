package network

import (
	"net"
	"sync"

	graniteknot "graniteknot.org/go"
)

// listener implements net.Listener.
type listener struct {
	network *Network
	address graniteknot.Address
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp4", string(l.address))
	return address
}
