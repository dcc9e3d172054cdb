package conns

import (
	"context"
	"errors"
	"syscall"

	graniteknot "graniteknot.org/go"
)

// Ended tells whether no process listens at an address: a new connection is refused. One
// that comes up is kept for the next request. Silence proves nothing.
func (p *Pool) Ended(ctx context.Context, a graniteknot.Address, limit int) bool {
	if !p.count(a, limit) {
		return false
	}
	c, err := p.dial(ctx, a)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.Put(a, c)
	return false
}

// count counts a connection that is to be opened; false where too many are.
func (p *Pool) count(a graniteknot.Address, limit int) bool {
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
