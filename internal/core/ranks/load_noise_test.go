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

// TestNoiseIsNoShift runs a group whose load is stable on the whole but differs between
// short intervals, as with few requests, while experts take longer than an interval to
// load. Noise taken for load shifts would replace each map before it comes into force.
func TestNoiseIsNoShift(t *testing.T) {
	const (
		// share is the part of the load that varies.
		share  = 0.6
		topics = 6
		// maxSkew bounds the final skew. It is 2.04 if each interval that differs replaces
		// the map being prepared, and 3.18 with a share of 0.7.
		maxSkew = 1.7
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
		random := rand.New(rand.NewPCG(1, 2))
		base := zipfLoads(shape, 7)
		f.group.Like(zipfLoads(shape, 8))
		time.Sleep(2 * time.Second)
		for range 70 {
			f.group.Like(mixLoads(base, zipfLoads(shape, uint64(50+random.IntN(topics))), share))
			time.Sleep(time.Duration(40+random.IntN(90)) * time.Millisecond)
		}
		f.group.Like(base)
		if shown := f.checkMapsAgree(t); shown.Skew > maxSkew {
			t.Errorf("skew is %.2f after the noise", shown.Skew)
		}
	})
}

// mixLoads returns a mixture with the given part of b.
func mixLoads(a, b planner.Loads, part float64) planner.Loads {
	out := planner.Loads{}
	for l := range a {
		layer := planner.LayerLoad{}
		for e := range a[l] {
			layer = append(layer, float64(int((1-part)*a[l][e]+part*b[l][e])))
		}
		out = append(out, layer)
	}
	return out
}
