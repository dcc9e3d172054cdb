package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"

	"graniteknot.org/go/internal/core/coarse"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

// TestSumsCountGrowth reads counts through a relay. A sum must cover the growth since an
// earlier round, also if the reply to a later one was lost, and leave out sidecars that
// don't remember that round.
func TestSumsCountGrowth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(planner.Shape{Layers: 1, Experts: 4, Ranks: 4, Slots: 2}, 1)
		defer f.stop()
		f.group.Like(planner.Loads{{1, 2, 3, 40}})
		readSum := func(fence int64, round, since uint64) *wire.SumReply {
			reply, err := f.executors[0].Sum(context.Background(), &wire.SumRequest{
				Sidecars: []string{"1", "2", "3"}, Fence: fence, Round: round, Since: since, WaitMs: 100,
			})
			if err != nil {
				t.Fatal(err)
			}
			return reply
		}
		runPasses := func(n int) {
			for range n {
				f.group.Pass()
			}
		}
		if r := readSum(1, 1, 0); r.GetSampled() != 4 || r.GetRanks() != 0 {
			t.Errorf("first round: %v", r)
		}
		runPasses(2)
		readSum(1, 2, 1)
		runPasses(1)
		if r := readSum(1, 3, 1); r.GetRanks() != 4 || coarse.Count(r.GetCounts()[1]) != 4*2*3 {
			t.Errorf("three passes since the first round: %v", r)
		}
		if r := readSum(2, 1, 3); r.GetRanks() != 0 || r.GetSampled() != 4 {
			t.Errorf("first round of another coordinator: %v", r)
		}
	})
}
