// Package delay waits, in ways that a context ends.
package delay

import (
	"context"
	"time"
)

// For waits for a time or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls step at a period until ctx is done.
func Every(ctx context.Context, period time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step(ctx)
		}
	}
}

// quietLook is the time between two looks of Quiet.
const quietLook = 20 * time.Millisecond

// Quiet waits for at least a time, and until a count has stayed the same for another, or
// until ctx is done.
func Quiet(ctx context.Context, least, still time.Duration, count func() uint64) {
	began := time.Now()
	last, since := count(), began
	for ctx.Err() == nil {
		now := time.Now()
		if n := count(); n != last {
			last, since = n, now
		}
		if now.Sub(began) >= least && now.Sub(since) >= still {
			return
		}
		For(ctx, quietLook)
	}
}
