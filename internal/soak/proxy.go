package soak

import (
	"context"
	"net"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
)

// proxyMode is what a proxy does with the data that it forwards.
type proxyMode int

// The modes.
const (
	proxyPass proxyMode = iota
	// proxyDropAnswers forwards requests and drops the responses.
	proxyDropAnswers
	// proxyReset closes each connection at its next byte.
	proxyReset
	// proxySlow delays each chunk.
	proxySlow
)

// slowDelay is the delay of each chunk in proxySlow.
const slowDelay = 150 * time.Millisecond

// proxy forwards connections between one process and the store.
type proxy struct {
	to       graniteknot.Address
	listener net.Listener
	group    group.Group

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
}

func newProxy(ctx context.Context, to graniteknot.Address) (*proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: listener, conns: map[net.Conn]struct{}{}}
	p.group.Go(func(ctx context.Context) { p.accept(ctx) })
	return p, nil
}

func (p *proxy) address() graniteknot.Address {
	return graniteknot.Address(p.listener.Addr().String())
}

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept(ctx context.Context) {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		var dialer net.Dialer
		far, err := dialer.DialContext(ctx, "tcp", string(p.to))
		if err != nil {
			_ = near.Close()
			continue
		}
		p.keep(near)
		p.keep(far)
		p.group.Go(func(context.Context) { p.pass(far, near, false) })
		p.group.Go(func(context.Context) { p.pass(near, far, true) })
	}
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

// pass copies one direction until it ends; answers reports whether it is that of the responses.
func (p *proxy) pass(to, from net.Conn, answers bool) {
	defer p.end(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch p.current() {
		case proxyReset:
			return
		case proxySlow:
			time.Sleep(slowDelay)
		case proxyDropAnswers:
			if answers {
				n = 0
			}
		case proxyPass:
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

func (p *proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.group.Stop()
}
