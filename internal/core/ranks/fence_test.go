package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/ranks"
)

// TestFencesRiseAcrossEras draws claims from before and after restores of the store that
// lose up to 1,023 claims. A later claim must have a higher fencing token, and the map
// versions derived from it must be exact in a 64-bit float.
func TestFencesRiseAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxLost, maxClaims, maxEras, mapsPerFence = 1<<10 - 1, 1 << 24, 1 << 12, 1 << 20
		era := rapid.Int64Range(0, maxEras).Draw(t, "era")
		restores := rapid.Int64Range(0, 3).Draw(t, "restores")
		offset := rapid.Int64Range(0, maxClaims).Draw(t, "offset")
		nextOffset := offset + 1
		for range restores {
			nextOffset = max(0, nextOffset-rapid.Int64Range(0, maxLost+1).Draw(t, "lost"))
		}
		former, next := graniteknot.PositionOf(graniteknot.Era(era), offset), graniteknot.PositionOf(graniteknot.Era(era+restores), nextOffset)
		if ranks.FenceOf(former) >= ranks.FenceOf(next) {
			t.Fatalf("%v has fence %d, %v has %d", former, int64(ranks.FenceOf(former)), next, int64(ranks.FenceOf(next)))
		}
		if version := int64(ranks.FenceOf(next)) * mapsPerFence; version <= 0 || version > 1<<53 {
			t.Fatalf("%v gives map versions from %d", next, version)
		}
	})
	if got := ranks.FenceOf(graniteknot.PositionOf(0, 7)); got != 8 {
		t.Errorf("fence is %d in era 0, want 8", got)
	}
}

// TestCoordinatorAfterStoreRestore restores the store from an older copy at each point of a
// coordinator's switches, so that the next coordinator's claim has a lower offset. All
// ranks must obey the new coordinator and no longer the former one, no step may run with
// two maps, and the group must not stall for longer than at any other change of
// coordinator.
func TestCoordinatorAfterStoreRestore(t *testing.T) {
	formerFence, nextFence := ranks.FenceOf(graniteknot.PositionOf(1, 900)), ranks.FenceOf(graniteknot.PositionOf(2, 3))
	for restoreAt := 100 * time.Millisecond; restoreAt < 1500*time.Millisecond; restoreAt += 28 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(smallShape, 2)
			defer f.stop()
			former := make(chan graniteknot.Position, 1)
			f.run.Go(func(ctx context.Context) { former <- f.coordinator(formerFence, 0).Run(ctx) })
			time.Sleep(restoreAt)
			if higher := f.runFor(f.coordinator(nextFence, 1), 6*time.Second); higher != 0 {
				t.Errorf("restore at %v: the coordinator of the new era stepped down for fence %d", restoreAt, int64(higher))
			}
			select {
			case <-former:
			default:
				t.Errorf("restore at %v: the coordinator of the old era is still running", restoreAt)
			}
			shown := f.checkMapsAgree(t)
			if shown.Held || shown.Skew > 1.2 || shown.Longest > time.Second {
				t.Errorf("restore at %v: held %v, skew %.2f, stalled for %v", restoreAt, shown.Held, shown.Skew, shown.Longest)
			}
		})
	}
}
