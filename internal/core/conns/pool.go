package conns

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/stall"
	"graniteknot.org/go/internal/orderly"
)

const (
	// connectTimeout bounds the opening of a connection: longer than a busy target in another
	// availability zone takes to accept one, and shorter than callers wait.
	connectTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	unackedTimeout = 2500 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure TCP keep-alive probes, which detect a target
	// that becomes unreachable during a response.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// idleMargin is how long before the replica's keep-alive timeout an idle connection is no
	// longer used.
	idleMargin = time.Second
	// defaultIdleTimeout applies if the replica states no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
)

// Pool holds the connections to all replicas. The zero value is ready to use.
type Pool struct {
	// Clock measures how long connections are idle. It is set before use.
	Clock graniteknot.AgeClock
	// UnreadLimit is how long a replica may read nothing of a request; 0 is no limit, and leaves
	// the sizes of socket buffers to the system. It is set before use.
	UnreadLimit time.Duration
	// MaxHead bounds the bytes of a response before its body, those of 1xx responses included; 0
	// stands for DefaultMaxHead. It is set before use.
	MaxHead int

	mu    sync.Mutex
	hosts map[graniteknot.Address]*host
	// opened is the number of connections opened so far.
	opened uint64
}

// host holds the connections to one address.
type host struct {
	// idle holds the connections without a request, the most recently used last.
	idle []*Conn
	// open is the number of connections, including those being opened.
	open int
}

// Get returns an idle connection or opens one if fewer than limit are open; a limit of 0 is no
// limit.
func (p *Pool) Get(ctx context.Context, a graniteknot.Address, limit int) (*Conn, error) {
	for {
		c, open := p.take(a, limit)
		if c == nil && !open {
			return nil, &Error{Op: "connect", Kind: KindFull}
		}
		if open {
			return p.dial(ctx, a)
		}
		if c.usable(p.Clock.Now()) {
			return c, nil
		}
		p.drop(a, c)
	}
}

// take returns an idle connection, or counts one that is about to be opened.
func (p *Pool) take(a graniteknot.Address, limit int) (c *Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(a)
	if n := len(h.idle); n > 0 {
		c = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, false
	}
	if limit > 0 && h.open >= limit {
		return nil, false
	}
	h.open++
	p.opened++
	return nil, true
}

// host returns the connections to an address. The caller holds the lock.
func (p *Pool) host(a graniteknot.Address) *host {
	if p.hosts == nil {
		p.hosts = map[graniteknot.Address]*host{}
	}
	h := p.hosts[a]
	if h == nil {
		h = &host{}
		p.hosts[a] = h
	}
	return h
}

func (c *Conn) usable(now time.Time) bool {
	bound := c.keepAliveTimeout - idleMargin
	if c.keepAliveTimeout == 0 {
		bound = defaultIdleTimeout
	}
	return now.Sub(c.idleSince) < bound && c.noDataPending()
}

func (p *Pool) dial(ctx context.Context, a graniteknot.Address) (*Conn, error) {
	dialer := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", string(a))
	if err != nil {
		p.release(a)
		return nil, &Error{Op: "connect", Kind: KindUnsent, Err: err}
	}
	if p.UnreadLimit > 0 {
		stall.BoundSystemBuffers(conn)
	}
	conn = orderly.New(conn)
	head := &headReader{net: conn}
	return &Conn{
		net: conn, head: head, reader: bufio.NewReaderSize(head, readBuffer),
		maxHead: cmp.Or(p.MaxHead, DefaultMaxHead), unreadLimit: p.UnreadLimit,
	}, nil
}

// Put returns a connection after its response was read to the end.
func (p *Pool) Put(a graniteknot.Address, c *Conn) {
	if c.unusable || c.reader.Buffered() > 0 {
		p.drop(a, c)
		return
	}
	c.idleSince = p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[a]
	if h == nil {
		// The pool was closed.
		c.Close()
		return
	}
	h.idle = append(h.idle, c)
}

// Drop closes a connection whose request or response is incomplete.
func (p *Pool) Drop(a graniteknot.Address, c *Conn) { p.drop(a, c) }

func (p *Pool) drop(a graniteknot.Address, c *Conn) {
	c.Close()
	p.release(a)
}

// release stops counting a closed connection.
func (p *Pool) release(a graniteknot.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[a]
	if h == nil {
		// The pool was closed.
		return
	}
	h.open--
	if h.open == 0 {
		delete(p.hosts, a)
	}
}

// Sweep closes idle connections that are no longer usable.
func (p *Pool) Sweep() {
	now := p.Clock.Now()
	for a, c := range p.stale(now) {
		p.drop(a, c)
	}
}

// stale removes and returns the idle connections that are no longer usable.
func (p *Pool) stale(now time.Time) func(yield func(graniteknot.Address, *Conn) bool) {
	type found struct {
		address graniteknot.Address
		conn    *Conn
	}
	var out []found
	p.mu.Lock()
	for a, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if c.usable(now) {
				kept = append(kept, c)
				continue
			}
			out = append(out, found{a, c})
		}
		h.idle = kept
	}
	p.mu.Unlock()
	return func(yield func(graniteknot.Address, *Conn) bool) {
		for _, f := range out {
			if !yield(f.address, f.conn) {
				return
			}
		}
	}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	hosts := p.hosts
	p.hosts = nil
	p.mu.Unlock()
	for _, h := range hosts {
		for _, c := range h.idle {
			c.Close()
		}
	}
}
