package ranks_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/planner"
)

// TestStepsAreHeldFarEnoughAhead switches maps while four orders in ten are late and what is
// asked for wavers: a switch takes another time each, and the group is not to wait for it.
func TestStepsAreHeldFarEnoughAhead(t *testing.T) {
	const (
		span, part = 10 * time.Second, 500 * time.Millisecond
		seeds      = 6
		share      = 0.08
		// mostStood is how long the group may stand in all: 1.2 to 1.5 s in five runs
		// of this test, 6.4 s with a lead that forgets sooner.
		mostStood = 3500 * time.Millisecond
	)
	shape := planner.Shape{Layers: 3, Experts: 96, Ranks: 24, Slots: 6}
	var stood time.Duration
	switches := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(shape, 1)
			defer b.stop()
			var keeping group.Group
			ctx, cancel := context.WithCancel(context.Background())
			defer keeping.Wait()
			defer cancel()
			keeper := b.keeper(1, 0)
			keeping.Go(func(context.Context) { keeper.Run(ctx) })
			time.Sleep(3 * time.Second)
			b.group.LateShare, b.group.LateFrom, b.group.LateTo = 0.4, 2*time.Second, 12*time.Second
			random := rand.New(rand.NewPCG(seed, 2))
			first := b.check(t)
			seen := first.Mappings[0]
			for began := time.Now(); time.Since(began) < span; {
				b.group.Like(mixed(uneven(shape, 1), uneven(shape, uint64(50+random.IntN(6))), share))
				time.Sleep(part)
				if now := b.check(t).Mappings[0]; now != seen {
					switches, seen = switches+1, now
				}
			}
			stood += span - time.Duration(b.check(t).Step-first.Step)*passTime
		})
	}
	t.Logf("%d switches, stood for %v", switches, stood)
	if stood > mostStood || switches < seeds*int(span/time.Second) {
		t.Errorf("%d switches, and the group stood for %v of %v", switches, stood, seeds*span)
	}
}
