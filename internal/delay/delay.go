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
