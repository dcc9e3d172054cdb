package quarantine

import (
	"context"
	"time"
)

// CancelOnBlock returns a context that is also canceled once a request is blocked. A
// request without an entry gets ctx itself. Call the returned function when done.
func (t *Table) CancelOnBlock(ctx context.Context, k Key, now time.Time) (context.Context, func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[k]
	if entry == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	if entry.blocked(now) {
		cancel()
	}
	wake := func() { cancel() }
	if entry.onBlock == nil {
		entry.onBlock = map[*func()]struct{}{}
	}
	entry.onBlock[&wake] = struct{}{}
	return ctx, func() {
		t.mu.Lock()
		delete(entry.onBlock, &wake)
		t.mu.Unlock()
		cancel()
	}
}
