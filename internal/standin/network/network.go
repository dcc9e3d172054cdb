// Package network is a stand-in of the network between boxes, in memory: connections and
// datagrams with a delay, which may be lost and cut off one way or both. It uses timers and
// channels alone, so it works in virtual time.
package network

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// queue is how many datagrams wait to be read before further ones are lost.
const queue = 4096

// Network implements graniteknot.Network for all boxes together. The zero value carries
// everything at once.
type Network struct {
	// Delay is the time on the way.
	Delay time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	loss      float64
	cut       map[pair]bool
	listeners map[graniteknot.Address]*listener
	sockets   map[netip.AddrPort]*socket
	carried   uint64
}

// pair is a direction between two boxes, by their IP addresses.
type pair struct{ from, to netip.Addr }

// Lose has a part of all datagrams lost from now on, chosen from a seed.
func (n *Network) Lose(part float64, seed uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.random = part, rand.New(rand.NewPCG(seed, seed))
}

// Cut loses all datagrams from one box to another, or carries them again.
func (n *Network) Cut(from, to netip.Addr, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = map[pair]bool{}
	}
	n.cut[pair{from, to}] = cut
}

// Carried counts the bytes of all datagrams that arrived.
func (n *Network) Carried() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.carried
}

// Listen implements graniteknot.Network.
func (n *Network) Listen(_ context.Context, a graniteknot.Address) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[a] != nil {
		return nil, fmt.Errorf("listen %s: in use", a)
	}
	if n.listeners == nil {
		n.listeners = map[graniteknot.Address]*listener{}
	}
	l := &listener{network: n, address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[a] = l
	return l, nil
}

// Dial opens a connection to an address.
func (n *Network) Dial(ctx context.Context, a graniteknot.Address) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[a]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: refused", a)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: refused", a)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ListenPacket implements graniteknot.Network.
func (n *Network) ListenPacket(_ context.Context, a graniteknot.Address) (graniteknot.PacketConn, error) {
	address, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets[address] != nil {
		return nil, fmt.Errorf("listen %s: in use", a)
	}
	if n.sockets == nil {
		n.sockets = map[netip.AddrPort]*socket{}
	}
	s := &socket{network: n, address: address, waiting: make(chan datagram, queue), closed: make(chan struct{})}
	n.sockets[address] = s
	return s, nil
}

// carries tells whether a datagram from one address arrives at another; called with the
// lock held.
func (n *Network) carries(from, to netip.AddrPort) bool {
	return !n.cut[pair{from.Addr(), to.Addr()}] && (n.loss == 0 || n.random.Float64() >= n.loss)
}
