package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/planner"
)

// TestKeeperAnswersAShift turns all requests to other experts at once, at several
// moments of the keeper's rounds. The first map after it must be made for what is
// asked now, not for a mixture with what was asked before, and the maps after that
// for more than the chance of a few passes.
func TestKeeperAnswersAShift(t *testing.T) {
	const (
		shifts = 20
		settle = 3 * time.Second
		// first is when the first map after a shift is in force, and settled when
		// the second is, each after loading for 400 ms.
		first   = 800 * time.Millisecond
		settled = 700 * time.Millisecond
		// mostFirst and mostSettled bound the mean skew then. Plans that look at
		// the last 200 ms whatever has changed give 1.73 and 1.25, those that begin
		// anew with the change 1.45 and 1.19; nothing moved gives 2.95.
		mostFirst, mostSettled = 1.6, 1.22
	)
	shape := planner.Shape{Layers: 3, Experts: 96, Ranks: 12, Slots: 11}
	synctest.Test(t, func(t *testing.T) {
		b := newBench(shape, 1)
		defer b.stop()
		b.group.Load = 4 * expertLoadTime
		var keeping group.Group
		ctx, cancel := context.WithCancel(context.Background())
		defer keeping.Wait()
		defer cancel()
		keeper := b.keeper(1, 0)
		keeping.Go(func(context.Context) { keeper.Run(ctx) })
		sumFirst, sumSettled := 0.0, 0.0
		for i := range shifts {
			time.Sleep(settle + time.Duration(i)*7*time.Millisecond)
			b.group.Like(uneven(shape, uint64(100+i)))
			time.Sleep(first)
			sumFirst += b.check(t).Skew
			time.Sleep(settled)
			sumSettled += b.check(t).Skew
		}
		if mean := sumFirst / shifts; mean > mostFirst {
			t.Errorf("mean skew of %.2f after the first map, at most %.2f", mean, mostFirst)
		}
		if mean := sumSettled / shifts; mean > mostSettled {
			t.Errorf("mean skew of %.2f after the second map, at most %.2f", mean, mostSettled)
		}
	})
}
