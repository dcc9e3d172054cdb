package ranks_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/internal/core/ranks"
)

// TestForecastReachesAllSidecars requires that every sidecar of a small and of a large
// group receives the coordinator's forecast. Gateways then get it from any of them, also
// where the coordinator's own link is slow.
func TestForecastReachesAllSidecars(t *testing.T) {
	for _, rankCount := range []int{4, 129} {
		synctest.Test(t, func(t *testing.T) {
			n := newNarrowLinkFixture(rankCount)
			defer n.stop()
			n.runFor(n.coordinatorAt(1, 0), 3*time.Second)
			for r, executor := range n.executors {
				f, at := executor.Forecast()
				if f.Skew < 1 || time.Since(at) > 400*time.Millisecond {
					t.Fatalf("%d ranks: rank %d received a skew of %.2f, %v ago", rankCount, r, f.Skew, time.Since(at))
				}
			}
		})
	}
}

// TestForecastClearedWithMap breaks a group while the coordinator runs and one rank stays
// silent. The skew of the dropped map must no longer be published.
func TestForecastClearedWithMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 1)
		defer f.stop()
		var mu sync.Mutex
		var last ranks.Forecast
		coordinator := f.coordinator(1, 0)
		coordinator.OnForecast = func(f ranks.Forecast) {
			mu.Lock()
			defer mu.Unlock()
			last = f
		}
		skew := func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return last.Skew
		}
		f.run.Go(func(ctx context.Context) { coordinator.Run(ctx) })
		time.Sleep(3 * time.Second)
		if skew() < 1 {
			t.Fatalf("skew of a running group is %.2f, want at least 1", skew())
		}
		f.group.Deafen(2, true)
		f.group.Break()
		time.Sleep(4 * time.Second)
		if skew() != 0 {
			t.Errorf("skew of a dropped map is %.2f, want 0", skew())
		}
	})
}
