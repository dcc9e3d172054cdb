package ranks_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestKeeperRelievesASlowRank takes the experts off a rank that tells it is many
// times slower than the others, but for few that are hardly chosen, and uses it
// again when it is well.
func TestKeeperRelievesASlowRank(t *testing.T) {
	const slow = 2
	synctest.Test(t, func(t *testing.T) {
		b := newBench(small, 4)
		defer b.stop()
		k := b.keeper(1, 0)
		b.keepFor(k, 5*time.Second)
		b.group.Slow(slow, 12)
		b.keepFor(k, 5*time.Second)
		if got := b.check(t).Experts[slow]; got > 2 {
			t.Errorf("the slow rank holds %d experts", got)
		}
		b.group.Slow(slow, 1)
		b.keepFor(k, 5*time.Second)
		shown := b.check(t)
		if shown.Experts[slow] == 0 || shown.Skew > 1.15 {
			t.Errorf("the rank that is well again holds %d experts, skew %.2f", shown.Experts[slow], shown.Skew)
		}
	})
}
