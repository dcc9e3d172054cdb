package quarantine

import (
	"context"
	"time"
)

// waiter is a request that waits for a replica.
type waiter struct {
	subject *Subject
	cancel  context.CancelFunc
}

// CancelOnBlock returns a context that is also canceled once a request is blocked. Call the
// returned function when done.
func (t *Table) CancelOnBlock(ctx context.Context, s *Subject, now time.Time) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	w := &waiter{subject: s, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blockedKey(s, now) != nil {
		cancel()
	}
	if t.waiters == nil {
		t.waiters = map[*waiter]struct{}{}
	}
	t.waiters[w] = struct{}{}
	return ctx, func() {
		t.mu.Lock()
		delete(t.waiters, w)
		t.mu.Unlock()
		cancel()
	}
}

// cancelBlocked cancels the waits of blocked requests. The caller holds the lock.
func (t *Table) cancelBlocked(now time.Time) {
	for w := range t.waiters {
		if t.blockedKey(w.subject, now) != nil {
			w.cancel()
		}
	}
}
