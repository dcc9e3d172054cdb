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

// TestHoldLeadCoversSwitchTime switches maps while four orders in ten are late and the load
// fluctuates, so that the duration of switches varies. Steps must be held far enough ahead
// that the group hardly stalls.
func TestHoldLeadCoversSwitchTime(t *testing.T) {
	const (
		duration, shiftInterval = 10 * time.Second, 500 * time.Millisecond
		seeds                   = 6
		mixShare                = 0.08
		// maxStall bounds the total stall: 1.2 to 1.5 s are normal; with a lead that
		// forgets long switches sooner it is 6.4 s.
		maxStall = 3500 * time.Millisecond
	)
	shape := planner.Shape{Layers: 3, Experts: 96, Ranks: 24, Slots: 6}
	var stalled time.Duration
	switches := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(shape, 1)
			defer f.stop()
			var running group.Group
			ctx, cancel := context.WithCancel(context.Background())
			defer running.Wait()
			defer cancel()
			coordinator := f.coordinator(1, 0)
			running.Go(func(context.Context) { coordinator.Run(ctx) })
			time.Sleep(3 * time.Second)
			f.group.LateShare, f.group.LateFrom, f.group.LateTo = 0.4, 2*time.Second, 12*time.Second
			random := rand.New(rand.NewPCG(seed, 2))
			first := f.checkMapsAgree(t)
			mapping := first.Mappings[0]
			for began := time.Now(); time.Since(began) < duration; {
				f.group.Like(mixLoads(zipfLoads(shape, 1), zipfLoads(shape, uint64(50+random.IntN(6))), mixShare))
				time.Sleep(shiftInterval)
				if now := f.checkMapsAgree(t).Mappings[0]; now != mapping {
					switches, mapping = switches+1, now
				}
			}
			stalled += duration - time.Duration(f.checkMapsAgree(t).Step-first.Step)*passTime
		})
	}
	t.Logf("%d switches, stalled for %v", switches, stalled)
	if stalled > maxStall || switches < seeds*int(duration/time.Second) {
		t.Errorf("%d switches, and the group stalled for %v of %v", switches, stalled, seeds*duration)
	}
}
