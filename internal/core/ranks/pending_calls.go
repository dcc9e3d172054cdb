package ranks

import (
	"context"
	"sync"
	"time"
)

// pendingCalls waits until some calls have ended. Make it with newWaiter.
type pendingCalls struct {
	mu        sync.Mutex
	remaining int
	finished  chan struct{}
}

func newPendingCalls(n int) *pendingCalls {
	return &pendingCalls{remaining: n, finished: make(chan struct{})}
}

// done notes the end of one call.
func (w *pendingCalls) done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remaining--
	if w.remaining == 0 {
		close(w.finished)
	}
}

// wait returns when all calls have ended, or after a time; then false.
func (w *pendingCalls) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.finished:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
