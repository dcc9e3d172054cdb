package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// TestRankArmedByAnEarlierCoordinatorIsNotLeftBehind guards against the release of a step that the former
// coordinator's rank is armed for, by the one before.
func TestRankArmedByAnEarlierCoordinatorIsNotLeftBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 1)
		defer f.stop()
		const formerRank, ownRank = 2, 3
		step := f.prepareAndHold(t, 1)
		f.giveOrder(t, formerRank, &wire.GiveRequest{Fence: 1, Kind: int32(held.KindArm), Version: int64(preparedMap), Step: step})
		for r, e := range f.executors {
			if _, err := e.Look(context.Background(), &wire.LookRequest{Fence: 2, OwnRank: formerRank + 1}); err != nil {
				t.Fatal(err)
			}
			f.giveOrder(t, r, &wire.GiveRequest{Fence: 2, Kind: int32(held.KindRelease)})
		}
		f.group.Deafen(formerRank, true)
		f.run.Go(func(context.Context) {
			time.Sleep(4 * time.Second)
			f.group.Deafen(formerRank, false)
		})
		f.runFor(f.coordinatorAfter(3, ownRank, formerRank), 10*time.Second)
		shown := f.checkMapsAgree(t)
		if shown.Held || shown.Mappings[0] < preparedMap {
			t.Errorf("map %d is in force, held %v", shown.Mappings[0], shown.Held)
		}
	})
}
