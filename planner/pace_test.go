package planner_test

import (
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/planner"
)

// TestSlowRankIsRelieved takes the load off a rank that is many times slower than
// the others, within a few maps, and evens it out again when the rank is well.
func TestSlowRankIsRelieved(t *testing.T) {
	s := planner.Shape{Layers: 4, Experts: 72, Ranks: 12, Slots: 8}
	loads := unevenLoads(s, 3)
	const slow = 3
	p := &planner.Planner{Shape: s, Smoothing: 1, MinMoveGain: 0.09}
	p.Observe(loads)
	now := planner.NewRoundRobin(s)
	plan := func(maps int) {
		for range maps {
			room := planner.LoadLimits{PerLayer: 3, PerRank: 4}
			next := p.PlanSwitch(now, room)
			checkMap(t, s, next.Placement)
			checkRoom(t, s, now, next, room)
			now = next.Placement
		}
	}
	plan(10)
	skew := now.Skew(loads)
	p.Slowdowns = make([]float64, s.Ranks)
	for r := range p.Slowdowns {
		p.Slowdowns[r] = 1
	}
	const times = 12
	p.Slowdowns[slow] = times
	plan(3)
	others := 0.0
	for r := range s.Ranks {
		if r != slow {
			others = max(others, load(now, loads, graniteknot.Rank(r)))
		}
	}
	if got := times * load(now, loads, slow); got > 1.2*others {
		t.Errorf("the slow rank takes %.0f, the busiest other one %.0f", got, others)
	}
	p.Slowdowns = nil
	plan(10)
	if got := now.Skew(loads); got > 1.1*skew {
		t.Errorf("skew %.3f with a rank that is well again, %.3f before", got, skew)
	}
}

// load sums up a rank's load over all layers.
func load(p *planner.Placement, loads planner.Loads, r graniteknot.Rank) float64 {
	sum := 0.0
	for l := range p.Shape.Layers {
		replicas := make([]int, p.Shape.Experts)
		for other := range p.Shape.Ranks {
			for _, e := range p.Experts(graniteknot.Layer(l), graniteknot.Rank(other)) {
				if e != planner.EmptySlot {
					replicas[e]++
				}
			}
		}
		for _, e := range p.Experts(graniteknot.Layer(l), r) {
			if e != planner.EmptySlot {
				sum += loads[l][e] / float64(replicas[e])
			}
		}
	}
	return sum
}
