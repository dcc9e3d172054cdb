package ranks_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/internal/core/ranks"
)

// TestForecastReachesAllSidecars has every sidecar of a small and of a large group
// know what the keeper foretells, so that it reaches gateways also where the way from
// the keeper's box is slow.
func TestForecastReachesAllSidecars(t *testing.T) {
	for _, ranksCount := range []int{4, 129} {
		synctest.Test(t, func(t *testing.T) {
			n := newNarrow(ranksCount)
			defer n.stop()
			n.keepFor(n.keeperAt(1, 0), 3*time.Second)
			for r, d := range n.doers {
				f, at := d.Forecast()
				if f.Skew < 1 || time.Since(at) > 400*time.Millisecond {
					t.Fatalf("%d ranks: rank %d knows a skew of %.2f since %v", ranksCount, r, f.Skew, time.Since(at))
				}
			}
		})
	}
}

// TestForecastEndsWithItsMap breaks a group while the keeper goes on and one rank
// stays silent: the skew of the forgotten map is told no more.
func TestForecastEndsWithItsMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(small, 1)
		defer b.stop()
		var mu sync.Mutex
		var last ranks.Forecast
		k := b.keeper(1, 0)
		k.OnForecast = func(f ranks.Forecast) {
			mu.Lock()
			defer mu.Unlock()
			last = f
		}
		told := func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return last.Skew
		}
		b.run.Go(func(ctx context.Context) { k.Run(ctx) })
		time.Sleep(3 * time.Second)
		if told() < 1 {
			t.Fatalf("a skew of %.2f is told of a group that runs", told())
		}
		b.group.Deafen(2, true)
		b.group.Break()
		time.Sleep(4 * time.Second)
		if told() != 0 {
			t.Errorf("a skew of %.2f is told of a map that is forgotten", told())
		}
	})
}
