package ranks

import (
	"context"
	"sync"
	"time"
)

// pendingCalls waits for a number of calls to end. Create it with newPendingCalls.
type pendingCalls struct {
	mu        sync.Mutex
	remaining int
	finished  chan struct{}
}

func newPendingCalls(n int) *pendingCalls {
	return &pendingCalls{remaining: n, finished: make(chan struct{})}
}

// done records the end of one call.
func (p *pendingCalls) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remaining--
	if p.remaining == 0 {
		close(p.finished)
	}
}

// wait returns true when all calls have ended, or false after d.
func (p *pendingCalls) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.finished:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
