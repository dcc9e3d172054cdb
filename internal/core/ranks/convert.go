package ranks

import (
	"slices"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

func stateToWire(s held.State, working bool) *wire.RankState {
	return &wire.RankState{
		Epoch: int64(s.Epoch), Open: s.GroupRunning, Step: uint64(s.Step), Mapping: int64(s.Current), Prepared: int64(s.Prepared),
		Armed: int64(s.Armed), ArmedAt: uint64(s.ArmedAt), Held: uint64(s.Held), Working: working,
	}
}

func stateFromWire(s *wire.RankState) held.State {
	return held.State{
		Epoch: held.Epoch(s.GetEpoch()), GroupRunning: s.GetOpen(), Step: graniteknot.Step(s.GetStep()),
		Current: held.Version(s.GetMapping()), Prepared: held.Version(s.GetPrepared()), Armed: held.Version(s.GetArmed()),
		ArmedAt: graniteknot.Step(s.GetArmedAt()), Held: graniteknot.Step(s.GetHeld()), HasRequests: s.GetWorking(),
	}
}

func listsToWire(lists [][]graniteknot.Expert) []*wire.ExpertList {
	out := make([]*wire.ExpertList, len(lists))
	for i, list := range lists {
		out[i] = &wire.ExpertList{}
		for _, e := range list {
			out[i].Experts = append(out[i].Experts, int32(e))
		}
	}
	return out
}

func listsFromWire(lists []*wire.ExpertList) [][]graniteknot.Expert {
	out := make([][]graniteknot.Expert, len(lists))
	for i, list := range lists {
		for _, e := range list.GetExperts() {
			out[i] = append(out[i], graniteknot.Expert(e))
		}
	}
	return out
}

func commandFromWire(r *wire.GiveRequest) *held.Command {
	c := &held.Command{
		Order: held.Order{
			Kind: held.Kind(r.GetKind()), Version: held.Version(r.GetVersion()), Step: graniteknot.Step(r.GetStep()),
			Epoch: held.Epoch(r.GetEpoch()),
		},
		Fence: graniteknot.Position(r.GetFence()),
	}
	if n := len(r.GetPlacement()); n > 0 {
		c.Placement = placementFromWire(r)
	}
	return c
}

func placementFromWire(r *wire.GiveRequest) *planner.Placement {
	ranks, places := int(r.GetRanks()), int(r.GetPlaces())
	if ranks <= 0 || places <= 0 || len(r.GetPlacement())%(ranks*places) != 0 {
		return nil
	}
	// Every expert has a slot, so the highest number gives the count of experts.
	experts := int(slices.Max(r.GetPlacement())) + 1
	if experts > ranks*places {
		return nil
	}
	s := planner.Shape{Layers: len(r.GetPlacement()) / (ranks * places), Experts: experts, Ranks: ranks, Slots: places}
	p := planner.NewRoundRobin(s)
	at := 0
	for l := range s.Layers {
		for rank := range ranks {
			experts := make([]graniteknot.Expert, places)
			for i := range experts {
				experts[i] = graniteknot.Expert(r.GetPlacement()[at])
				at++
			}
			p.SetExperts(graniteknot.Layer(l), graniteknot.Rank(rank), experts)
		}
	}
	return p
}

// commandToWire is the inverse of commandFromWire.
func commandToWire(c *held.Command) *wire.GiveRequest {
	r := &wire.GiveRequest{
		Fence: int64(c.Fence), Kind: int32(c.Kind), Version: int64(c.Version), Step: uint64(c.Step), Epoch: int64(c.Epoch),
	}
	if c.Placement == nil || c.Base != nil {
		return r
	}
	s := c.Placement.Shape
	r.Ranks, r.Places = int32(s.Ranks), int32(s.Slots)
	for l := range s.Layers {
		for rank := range s.Ranks {
			for _, e := range c.Placement.Experts(graniteknot.Layer(l), graniteknot.Rank(rank)) {
				r.Placement = append(r.Placement, int32(e))
			}
		}
	}
	return r
}
