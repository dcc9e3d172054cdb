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

// TestChanceIsNoShift runs a group whose requests stay the same on the whole, but
// differ from one short interval to the next, as few requests do, while ranks load for
// longer than that. The maps that are prepared have to come into force all the same.
func TestChanceIsNoShift(t *testing.T) {
	const (
		// share is the part of the choices that differ each time.
		share  = 0.6
		topics = 6
		// most is the skew that is left. Where each interval that differs makes the
		// map that is prepared give way it is 2.04, with 0.7 of share 3.18.
		most = 1.7
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
		random := rand.New(rand.NewPCG(1, 2))
		base := uneven(shape, 7)
		b.group.Like(uneven(shape, 8))
		time.Sleep(2 * time.Second)
		for range 70 {
			b.group.Like(mixed(base, uneven(shape, uint64(50+random.IntN(topics))), share))
			time.Sleep(time.Duration(40+random.IntN(90)) * time.Millisecond)
		}
		b.group.Like(base)
		if shown := b.check(t); shown.Skew > most {
			t.Errorf("skew is %.2f after five seconds", shown.Skew)
		}
	})
}

// mixed takes a part of its choices from others.
func mixed(a, b planner.Loads, part float64) planner.Loads {
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
