package ranks_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/planner"
)

func TestKeeperEvensTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(small, 1)
		defer b.stop()
		before := b.group.Show().Skew
		b.keepFor(b.keeper(1, 0), 10*time.Second)
		shown := b.check(t)
		if shown.Skew > 1.1 || before < 1.4 {
			t.Errorf("skew went from %.2f to %.2f", before, shown.Skew)
		}
		if shown.Held {
			t.Error("the group is left held")
		}
	})
}

// TestKeeperReplaced ends a keeper at every point of its first switches; the
// next one goes on, and the group does not stand for long.
func TestKeeperReplaced(t *testing.T) {
	for cut := 100 * time.Millisecond; cut < 1500*time.Millisecond; cut += 7 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(small, 2)
			defer b.stop()
			b.keepFor(b.keeper(1, 0), cut)
			time.Sleep(300 * time.Millisecond)
			b.keepFor(b.keeper(2, 1), 6*time.Second)
			shown := b.check(t)
			if shown.Held || shown.Skew > 1.2 {
				t.Errorf("cut at %v: held %v, skew %.2f", cut, shown.Held, shown.Skew)
			}
			if shown.Longest > time.Second {
				t.Errorf("cut at %v: the group stood for %v", cut, shown.Longest)
			}
		})
	}
}

func TestFormerKeeperStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(small, 3)
		defer b.stop()
		former := make(chan graniteknot.Position, 1)
		b.run.Go(func(ctx context.Context) { former <- b.keeper(1, 0).Run(ctx) })
		time.Sleep(time.Second)
		b.keepFor(b.keeper(2, 1), 3*time.Second)
		select {
		case fence := <-former:
			if fence < 2 {
				t.Errorf("stepped down before fence %d", fence)
			}
		default:
			t.Error("the former keeper goes on")
		}
		b.check(t)
	})
}

// TestLateOrders loses the answers of many orders and carries them out seconds
// later, while interests move on, keepers are replaced, and the group breaks.
func TestLateOrders(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(small, seed)
			defer b.stop()
			b.group.LateShare, b.group.LateFrom, b.group.LateTo = 0.4, 2*time.Second, 12*time.Second
			random := rand.New(rand.NewPCG(seed, 7))
			for fence := graniteknot.Position(1); fence <= 6; fence++ {
				b.keepFor(b.keeper(fence, graniteknot.Rank(random.IntN(small.Ranks))), time.Duration(1+random.IntN(9))*time.Second)
				b.group.Like(uneven(small, random.Uint64()))
				if random.IntN(3) == 0 {
					b.group.Break()
				}
			}
			b.group.LateShare = 0
			b.keepFor(b.keeper(7, 0), 20*time.Second)
			shown := b.check(t)
			if shown.Held || shown.Skew > 1.2 {
				t.Errorf("seed %d: held %v, skew %.2f", seed, shown.Held, shown.Skew)
			}
		})
	}
}

// TestLargeGroup runs a group of 63 ranks with late orders.
func TestLargeGroup(t *testing.T) {
	if testing.Short() {
		t.Skip("long under the race detector")
	}
	synctest.Test(t, func(t *testing.T) {
		large := planner.Shape{Layers: 3, Experts: 126, Ranks: 63, Slots: 4}
		b := newBench(large, 5)
		defer b.stop()
		before := b.group.Show().Skew
		b.group.LateShare, b.group.LateFrom, b.group.LateTo = 0.05, 2*time.Second, 12*time.Second
		b.keepFor(b.keeper(1, 0), 60*time.Second)
		if shown := b.check(t); shown.Skew > before/2 {
			t.Errorf("skew went from %.2f to %.2f", before, shown.Skew)
		}
	})
}

// TestLargeGroupWithASilentSidecar freezes a sidecar through which the keeper
// reaches others, and one that is reached through another.
func TestLargeGroupWithASilentSidecar(t *testing.T) {
	if testing.Short() {
		t.Skip("long under the race detector")
	}
	for _, at := range []int{16, 19} {
		synctest.Test(t, func(t *testing.T) {
			large := planner.Shape{Layers: 2, Experts: 96, Ranks: 32, Slots: 4}
			b := newBench(large, 7)
			defer b.stop()
			before := b.group.Show().Skew
			frozen := &frozenDoer{Executor: b.doers[at]}
			k := b.keeperThrough(frozen, at)
			b.run.Go(func(context.Context) {
				time.Sleep(2 * time.Second)
				frozen.freeze()
				b.group.Like(uneven(large, 8))
			})
			b.keepFor(k, 20*time.Second)
			shown := b.check(t)
			if shown.Held || shown.Skew > before/2 {
				t.Errorf("rank %d silent: held %v, skew %.2f of %.2f", at, shown.Held, shown.Skew, before)
			}
			if shown.Longest > 2*time.Second {
				t.Errorf("rank %d silent: the group stood for %v", at, shown.Longest)
			}
		})
	}
}

// TestSilentSidecar freezes the sidecar of a rank in the middle of switches; its
// rank is then reached from afar.
func TestSilentSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(small, 6)
		defer b.stop()
		frozen := &frozenDoer{Executor: b.doers[2]}
		k := b.keeperThrough(frozen, 2)
		b.run.Go(func(context.Context) {
			time.Sleep(700 * time.Millisecond)
			frozen.freeze()
		})
		b.keepFor(k, 15*time.Second)
		shown := b.check(t)
		if shown.Held || shown.Skew > 1.2 {
			t.Errorf("held %v, skew %.2f", shown.Held, shown.Skew)
		}
		if shown.Longest > 2*time.Second {
			t.Errorf("the group stood for %v", shown.Longest)
		}
	})
}

// TestKeeperBoxStops stops the keeper's box, its own rank's answers with it,
// right after each of its holds: the next keeper lets the step begin, and goes on
// with the maps once the box is back.
func TestKeeperBoxStops(t *testing.T) {
	for cut := 150 * time.Millisecond; cut < 1200*time.Millisecond; cut += 5 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(small, 4)
			defer b.stop()
			b.keepFor(b.keeper(1, 0), cut)
			untouched := !b.group.AnyArmed()
			b.group.Deafen(0, true)
			b.run.Go(func(context.Context) {
				time.Sleep(5 * time.Second)
				b.group.Deafen(0, false)
			})
			b.keepFor(b.keeperAfter(2, 1, 0), 12*time.Second)
			shown := b.check(t)
			if shown.Held || shown.Skew > 1.2 {
				t.Errorf("cut at %v: held %v, skew %.2f", cut, shown.Held, shown.Skew)
			}
			if untouched && shown.Longest > time.Second {
				t.Errorf("cut at %v, before any rank was armed: the group stood for %v", cut, shown.Longest)
			}
		})
	}
}
