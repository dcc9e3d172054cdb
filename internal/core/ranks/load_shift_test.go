package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/planner"
)

// TestCoordinatorFollowsLoadShift shifts the whole load to other experts at several points
// of the coordinator's rounds. The first map after a shift must be planned from counts
// after it rather than from a mixture, and the next maps from more than the noise of a few
// passes.
func TestCoordinatorFollowsLoadShift(t *testing.T) {
	const (
		shifts = 20
		settle = 3 * time.Second
		// first is when the first map after a shift is in force, and settled how long after
		// that the second is; each loads experts for 400 ms.
		first   = 800 * time.Millisecond
		settled = 700 * time.Millisecond
		// maxFirst and maxSettled bound the mean skew at these times. Plans from a fixed
		// window of 200 ms give 1.73 and 1.25, a window that restarts at the shift gives
		// 1.45 and 1.19, and no moves give 2.95.
		maxFirst, maxSettled = 1.6, 1.22
	)
	shape := planner.Shape{Layers: 3, Experts: 96, Ranks: 12, Slots: 11}
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(shape, 1)
		defer f.stop()
		f.group.Load = 4 * expertLoadTime
		var running group.Group
		ctx, cancel := context.WithCancel(context.Background())
		defer running.Wait()
		defer cancel()
		coordinator := f.coordinator(1, 0)
		running.Go(func(context.Context) { coordinator.Run(ctx) })
		sumFirst, sumSettled := 0.0, 0.0
		for i := range shifts {
			time.Sleep(settle + time.Duration(i)*7*time.Millisecond)
			f.group.Like(zipfLoads(shape, uint64(100+i)))
			time.Sleep(first)
			sumFirst += f.checkMapsAgree(t).Skew
			time.Sleep(settled)
			sumSettled += f.checkMapsAgree(t).Skew
		}
		if mean := sumFirst / shifts; mean > maxFirst {
			t.Errorf("mean skew of %.2f after the first map, want at most %.2f", mean, maxFirst)
		}
		if mean := sumSettled / shifts; mean > maxSettled {
			t.Errorf("mean skew of %.2f after the second map, want at most %.2f", mean, maxSettled)
		}
	})
}
