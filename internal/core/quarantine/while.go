package quarantine

import (
	"context"
	"time"
)

// CancelOnBlock returns a context that also ends once a request is kept from replicas; it costs
// nothing while nothing is known of the request. Call the function when done.
func (t *Table) CancelOnBlock(ctx context.Context, k Key, now time.Time) (context.Context, func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.items[k]
	if i == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	if i.keeps(now) {
		cancel()
	}
	wake := func() { cancel() }
	if i.waiting == nil {
		i.waiting = map[*func()]struct{}{}
	}
	i.waiting[&wake] = struct{}{}
	return ctx, func() {
		t.mu.Lock()
		delete(i.waiting, &wake)
		t.mu.Unlock()
		cancel()
	}
}
