package delay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/internal/delay"
)

// TestQuiet waits for the least time where nothing is counted, for as long as something is
// and a while more, and not beyond its context.
func TestQuiet(t *testing.T) {
	for name, c := range map[string]struct {
		busy, bound, want time.Duration
	}{
		"nothing comes":       {0, time.Minute, 3 * time.Second},
		"something comes":     {10 * time.Second, time.Minute, 11 * time.Second},
		"until the context's": {time.Hour, 20 * time.Second, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), c.bound)
				defer cancel()
				began := time.Now()
				count := func() uint64 { return uint64(min(time.Since(began), c.busy) / (100 * time.Millisecond)) }
				delay.Quiet(ctx, 3*time.Second, time.Second, count)
				if took := time.Since(began); took < c.want || took > c.want+200*time.Millisecond {
					t.Errorf("took %v, want %v", took, c.want)
				}
			})
		})
	}
}
