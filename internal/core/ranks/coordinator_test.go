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

func TestCoordinatorBalancesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 1)
		defer f.stop()
		before := f.group.Show().Skew
		f.runFor(f.coordinator(1, 0), 10*time.Second)
		shown := f.checkMapsAgree(t)
		if shown.Skew > 1.1 || before < 1.4 {
			t.Errorf("skew went from %.2f to %.2f", before, shown.Skew)
		}
		if shown.Held {
			t.Error("a step is still held")
		}
	})
}

// TestCoordinatorReplaced stops a coordinator at every point of its first switches. The
// next one must finish the work without a long stall of the group.
func TestCoordinatorReplaced(t *testing.T) {
	for stopAt := 100 * time.Millisecond; stopAt < 1500*time.Millisecond; stopAt += 7 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(smallShape, 2)
			defer f.stop()
			f.runFor(f.coordinator(1, 0), stopAt)
			time.Sleep(300 * time.Millisecond)
			f.runFor(f.coordinator(2, 1), 6*time.Second)
			shown := f.checkMapsAgree(t)
			if shown.Held || shown.Skew > 1.2 {
				t.Errorf("stopped at %v: held %v, skew %.2f", stopAt, shown.Held, shown.Skew)
			}
			if shown.Longest > time.Second {
				t.Errorf("stopped at %v: the group stalled for %v", stopAt, shown.Longest)
			}
		})
	}
}

func TestFormerCoordinatorStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 3)
		defer f.stop()
		former := make(chan graniteknot.Position, 1)
		f.run.Go(func(ctx context.Context) { former <- f.coordinator(1, 0).Run(ctx) })
		time.Sleep(time.Second)
		f.runFor(f.coordinator(2, 1), 3*time.Second)
		select {
		case fence := <-former:
			if fence < 2 {
				t.Errorf("stepped down for fence %d, want at least 2", fence)
			}
		default:
			t.Error("the former coordinator is still running")
		}
		f.checkMapsAgree(t)
	})
}

// TestLateOrders loses the answers of many orders and delivers these seconds late, while
// the load shifts, coordinators are replaced and the group breaks.
func TestLateOrders(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(smallShape, seed)
			defer f.stop()
			f.group.LateShare, f.group.LateFrom, f.group.LateTo = 0.4, 2*time.Second, 12*time.Second
			random := rand.New(rand.NewPCG(seed, 7))
			for fence := graniteknot.Position(1); fence <= 6; fence++ {
				f.runFor(f.coordinator(fence, graniteknot.Rank(random.IntN(smallShape.Ranks))), time.Duration(1+random.IntN(9))*time.Second)
				f.group.Like(zipfLoads(smallShape, random.Uint64()))
				if random.IntN(3) == 0 {
					f.group.Break()
				}
			}
			f.group.LateShare = 0
			f.runFor(f.coordinator(7, 0), 20*time.Second)
			shown := f.checkMapsAgree(t)
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
		shape := planner.Shape{Layers: 3, Experts: 126, Ranks: 63, Slots: 4}
		f := newFixture(shape, 5)
		defer f.stop()
		before := f.group.Show().Skew
		f.group.LateShare, f.group.LateFrom, f.group.LateTo = 0.05, 2*time.Second, 12*time.Second
		f.runFor(f.coordinator(1, 0), 60*time.Second)
		if shown := f.checkMapsAgree(t); shown.Skew > before/2 {
			t.Errorf("skew went from %.2f to %.2f", before, shown.Skew)
		}
	})
}

// TestLargeGroupWithSilentSidecar freezes a relay, and a sidecar that is reached through a
// relay.
func TestLargeGroupWithSilentSidecar(t *testing.T) {
	if testing.Short() {
		t.Skip("long under the race detector")
	}
	for _, rank := range []int{16, 19} {
		synctest.Test(t, func(t *testing.T) {
			shape := planner.Shape{Layers: 2, Experts: 96, Ranks: 32, Slots: 4}
			f := newFixture(shape, 7)
			defer f.stop()
			before := f.group.Show().Skew
			frozen := &freezableExecutor{Executor: f.executors[rank]}
			coordinator := f.coordinatorWith(frozen, rank)
			f.run.Go(func(context.Context) {
				time.Sleep(2 * time.Second)
				frozen.freeze()
				f.group.Like(zipfLoads(shape, 8))
			})
			f.runFor(coordinator, 20*time.Second)
			shown := f.checkMapsAgree(t)
			if shown.Held || shown.Skew > before/2 {
				t.Errorf("rank %d silent: held %v, skew %.2f, was %.2f", rank, shown.Held, shown.Skew, before)
			}
			if shown.Longest > 2*time.Second {
				t.Errorf("rank %d silent: the group stalled for %v", rank, shown.Longest)
			}
		})
	}
}

// TestSilentSidecar freezes a rank's sidecar during switches. The coordinator must then
// call the rank directly.
func TestSilentSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 6)
		defer f.stop()
		frozen := &freezableExecutor{Executor: f.executors[2]}
		coordinator := f.coordinatorWith(frozen, 2)
		f.run.Go(func(context.Context) {
			time.Sleep(700 * time.Millisecond)
			frozen.freeze()
		})
		f.runFor(coordinator, 15*time.Second)
		shown := f.checkMapsAgree(t)
		if shown.Held || shown.Skew > 1.2 {
			t.Errorf("held %v, skew %.2f", shown.Held, shown.Skew)
		}
		if shown.Longest > 2*time.Second {
			t.Errorf("the group stalled for %v", shown.Longest)
		}
	})
}

// TestCoordinatorBoxStops stops the coordinator's box and its rank's answers right after
// each hold. The next coordinator must release the held step, and switch maps again once
// the box is back.
func TestCoordinatorBoxStops(t *testing.T) {
	for stopAt := 150 * time.Millisecond; stopAt < 1200*time.Millisecond; stopAt += 5 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(smallShape, 4)
			defer f.stop()
			f.runFor(f.coordinator(1, 0), stopAt)
			noneArmed := !f.group.AnyArmed()
			f.group.Deafen(0, true)
			f.run.Go(func(context.Context) {
				time.Sleep(5 * time.Second)
				f.group.Deafen(0, false)
			})
			f.runFor(f.coordinatorAfter(2, 1, 0), 12*time.Second)
			shown := f.checkMapsAgree(t)
			if shown.Held || shown.Skew > 1.2 {
				t.Errorf("stopped at %v: held %v, skew %.2f", stopAt, shown.Held, shown.Skew)
			}
			if noneArmed && shown.Longest > time.Second {
				t.Errorf("stopped at %v, before any rank was armed: the group stalled for %v", stopAt, shown.Longest)
			}
		})
	}
}
