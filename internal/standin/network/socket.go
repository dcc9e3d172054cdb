package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// socket implements graniteknot.PacketConn.
type socket struct {
	network *Network
	address netip.AddrPort
	waiting chan datagram
	once    sync.Once
	closed  chan struct{}
}

type datagram struct {
	from netip.AddrPort
	body []byte
}

// ReadFromUDPAddrPort implements graniteknot.PacketConn.
func (s *socket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-s.waiting:
		return copy(b, d.body), d.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort implements graniteknot.PacketConn.
func (s *socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := s.network
	n.mu.Lock()
	far := n.sockets[to]
	arrives := far != nil && n.carries(s.address, to)
	if arrives {
		n.carried += uint64(len(b))
	}
	n.mu.Unlock()
	if !arrives {
		return len(b), nil
	}
	d := datagram{s.address, append([]byte(nil), b...)}
	if n.Delay == 0 {
		far.put(d)
	} else {
		time.AfterFunc(n.Delay, func() { far.put(d) })
	}
	return len(b), nil
}

// put hands a datagram over, or loses it where too many wait.
func (s *socket) put(d datagram) {
	select {
	case s.waiting <- d:
	default:
	}
}

// LocalAddr implements graniteknot.PacketConn.
func (s *socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.address) }

// Close implements graniteknot.PacketConn.
func (s *socket) Close() error {
	s.once.Do(func() {
		s.network.mu.Lock()
		delete(s.network.sockets, s.address)
		s.network.mu.Unlock()
		close(s.closed)
	})
	return nil
}
