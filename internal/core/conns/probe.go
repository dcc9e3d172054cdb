package conns

import (
	"context"
	"errors"
	"syscall"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/delay"
)

// ListenState is whether a process listens at an address.
type ListenState uint8

const (
	// ListenStateUnknown means that a connection was neither opened nor refused in time.
	ListenStateUnknown ListenState = iota
	// ListenStateOpen means that a process accepts connections.
	ListenStateOpen
	// ListenStateRefused means that no process listens.
	ListenStateRefused
)

// Probe opens a new connection to an address to find out whether a process listens there. A
// connection that is accepted is kept for the next request.
func (p *Pool) Probe(ctx context.Context, a graniteknot.Address, limit int) ListenState {
	if !p.reserve(a, limit) {
		return ListenStateUnknown
	}
	c, err := p.dial(ctx, a)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ListenStateRefused
	}
	if err != nil {
		return ListenStateUnknown
	}
	p.Put(a, c)
	return ListenStateOpen
}

// settleTime is how long a process that is ending may still accept connections, which break at once.
const settleTime = 10 * time.Millisecond

// ProbeAfterClose finds out whether the process that has closed a connection lives on. The new connection takes the
// place of that one, so it is opened whatever the limit, and kept for the next request.
func (p *Pool) ProbeAfterClose(ctx context.Context, a graniteknot.Address) ListenState {
	const tries = 2
	state := ListenStateUnknown
	for range tries {
		p.reserve(a, 0)
		c, err := p.dial(ctx, a)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return ListenStateRefused
		case errors.Is(err, syscall.ECONNRESET):
			// The listener was closed meanwhile.
			state = ListenStateRefused
			continue
		case err != nil:
			return ListenStateUnknown
		}
		delay.For(ctx, settleTime)
		if c.noDataPending() {
			p.Put(a, c)
			return ListenStateOpen
		}
		p.drop(a, c)
		// A process that has too many connections breaks new ones too.
		state = ListenStateOpen
	}
	return state
}

// reserve counts a connection that is about to be opened; false if too many are open.
func (p *Pool) reserve(a graniteknot.Address, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(a)
	if limit > 0 && h.open >= limit {
		return false
	}
	h.open++
	p.opened++
	return true
}
