package ranks_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestCoordinatorUnloadsSlowRank requires that a rank reporting a pace many times slower
// than the others keeps only a few experts that are hardly chosen, and is used again once
// it has recovered.
func TestCoordinatorUnloadsSlowRank(t *testing.T) {
	const slow = 2
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 4)
		defer f.stop()
		coordinator := f.coordinator(1, 0)
		f.runFor(coordinator, 5*time.Second)
		f.group.Slow(slow, 12)
		f.runFor(coordinator, 5*time.Second)
		if got := f.checkMapsAgree(t).Experts[slow]; got > 2 {
			t.Errorf("the slow rank holds %d experts, want at most 2", got)
		}
		f.group.Slow(slow, 1)
		f.runFor(coordinator, 5*time.Second)
		shown := f.checkMapsAgree(t)
		if shown.Experts[slow] == 0 || shown.Skew > 1.15 {
			t.Errorf("the recovered rank holds %d experts, skew %.2f", shown.Experts[slow], shown.Skew)
		}
	})
}
