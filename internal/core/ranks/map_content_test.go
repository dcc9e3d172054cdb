package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

// giveAll gives an order to all ranks through their sidecars.
func (f *fixture) giveAll(t *testing.T, r *wire.GiveRequest) {
	t.Helper()
	for rank := range f.executors {
		reply, err := f.sidecar(rank).Give(context.Background(), r)
		if err != nil || held.Result(reply.GetResult()) != held.ResultDone {
			t.Fatalf("rank %d: order %v: result %v, error %v", rank, held.Kind(r.GetKind()), held.Result(reply.GetResult()), err)
		}
	}
}

// prepareRequest returns an order to prepare a map, which it holds as a whole.
func prepareRequest(p *planner.Placement, v held.Version) *wire.GiveRequest {
	out := &wire.GiveRequest{Fence: 1, Epoch: 1, Kind: int32(held.KindPrepare), Version: int64(v), Ranks: int32(p.Shape.Ranks), Places: int32(p.Shape.Slots)}
	for l := range p.Shape.Layers {
		for r := range p.Shape.Ranks {
			for _, e := range p.Experts(graniteknot.Layer(l), graniteknot.Rank(r)) {
				out.Placement = append(out.Placement, int32(e))
			}
		}
	}
	return out
}

// bringIntoForce switches the group to a map, which is sent as a whole.
func (f *fixture) bringIntoForce(t *testing.T, p *planner.Placement, v held.Version) {
	t.Helper()
	f.giveAll(t, prepareRequest(p, v))
	time.Sleep(time.Second)
	step := uint64(f.group.Show().Step) + 3
	f.giveAll(t, &wire.GiveRequest{Fence: 1, Epoch: 1, Kind: int32(held.KindArm), Version: int64(v), Step: step})
	time.Sleep(6 * passTime)
	if shown := f.checkMapsAgree(t); shown.Mappings[0] != v {
		t.Fatalf("map %d is in force, want %d", shown.Mappings[0], v)
	}
}

// TestMapHasOneContentAfterCoordinatorChange guards against changes of a map that sidecars apply to
// different slots.
func TestMapHasOneContentAfterCoordinatorChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 1)
		defer f.stop()
		withGaps := planner.NewRoundRobin(smallShape)
		for l := range smallShape.Layers {
			for r := range smallShape.Ranks {
				layer, rank := graniteknot.Layer(l), graniteknot.Rank(r)
				experts := withGaps.Experts(layer, rank)
				withGaps.SetExperts(layer, rank, []graniteknot.Expert{planner.EmptySlot, experts[0], experts[1], planner.EmptySlot, experts[2]})
			}
		}
		f.bringIntoForce(t, withGaps, 3)
		f.restartSidecar(2)
		f.runFor(f.coordinatorAfter(2, 1, 0), 3*time.Second)
		if shown := f.checkMapsAgree(t); shown.Mappings[0] <= 3 || shown.Skew > 1.2 {
			t.Errorf("map %d is in force, skew %.2f", shown.Mappings[0], shown.Skew)
		}
	})
}
