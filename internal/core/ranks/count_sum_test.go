package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"

	"graniteknot.org/go/internal/core/coarse"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

// TestSumsOfWhatHasGrown asks sidecars for their counts through one of them: a sum is
// of what has grown since a question that they remember, one that was lost on the way
// included, and a sidecar that does not know it is left out.
func TestSumsOfWhatHasGrown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(planner.Shape{Layers: 1, Experts: 4, Ranks: 4, Slots: 2}, 1)
		defer b.stop()
		b.group.Like(planner.Loads{{1, 2, 3, 40}})
		ask := func(fence int64, round, since uint64) *wire.SumReply {
			reply, err := b.doers[0].Sum(context.Background(), &wire.SumRequest{
				Sidecars: []string{"1", "2", "3"}, Fence: fence, Round: round, Since: since, WaitMs: 100,
			})
			if err != nil {
				t.Fatal(err)
			}
			return reply
		}
		passes := func(n int) {
			for range n {
				b.group.Pass()
			}
		}
		if r := ask(1, 1, 0); r.GetSampled() != 4 || r.GetRanks() != 0 {
			t.Errorf("the first question: %v", r)
		}
		passes(2)
		ask(1, 2, 1)
		passes(1)
		if r := ask(1, 3, 1); r.GetRanks() != 4 || coarse.Count(r.GetCounts()[1]) != 4*2*3 {
			t.Errorf("three passes since the first question: %v", r)
		}
		if r := ask(2, 1, 3); r.GetRanks() != 0 || r.GetSampled() != 4 {
			t.Errorf("the first question of another keeper: %v", r)
		}
	})
}
