package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/planner"
)

func randomLoads(s planner.Shape, r *rand.Rand) planner.Loads {
	out := planner.NewLoads(s)
	for l := range out {
		for e := range out[l] {
			out[l][e] = r.ExpFloat64() * 1000
		}
	}
	return out
}

// checkWhole fails if an expert is missing or stands twice on one rank.
func checkWhole(t *testing.T, p *planner.Placement) {
	t.Helper()
	for l := range graniteknot.Layer(p.Shape.Layers) {
		seen := map[graniteknot.Expert]bool{}
		for r := range graniteknot.Rank(p.Shape.Ranks) {
			own := map[graniteknot.Expert]bool{}
			for _, e := range p.Experts(l, r) {
				if own[e] {
					t.Fatalf("layer %d rank %d holds expert %d twice", l, r, e)
				}
				own[e], seen[e] = true, true
			}
		}
		if len(seen) != p.Shape.Experts {
			t.Fatalf("layer %d holds %d of %d experts", l, len(seen), p.Shape.Experts)
		}
	}
}

// TestEveryStateIsWhole applies plans batch by batch: every expert has a
// replica in every state between, and no rank stages more than it may.
func TestEveryStateIsWhole(t *testing.T) {
	s := planner.Shape{Layers: 3, Experts: 32, Ranks: 8, Slots: 5}
	random := rand.New(rand.NewPCG(1, 1))
	p := &planner.Planner{Shape: s, Weights: planner.Weights{Skew: 1, Cost: 1}, Smoothing: 1}
	now := planner.NewPlacement(s)
	checkWhole(t, now)
	for range 50 {
		p.Observe(randomLoads(s, random))
		plan := p.Plan(now)
		if plan.SkewAfter > plan.SkewBefore {
			t.Fatalf("the plan makes skew worse: %.3f after %.3f", plan.SkewAfter, plan.SkewBefore)
		}
		if plan.Moves() > planner.DefaultMaxMoves {
			t.Fatalf("%d moves", plan.Moves())
		}
		for _, b := range plan.Batches {
			staged := map[graniteknot.Rank]int{}
			for _, m := range b.Moves {
				staged[m.To]++
				if staged[m.To] > planner.DefaultStagingSlots {
					t.Fatalf("rank %d stages %d experts at once", m.To, staged[m.To])
				}
			}
			now.Apply(b)
			checkWhole(t, now)
		}
		checkWhole(t, planner.FullReplan(s, randomLoads(s, random)))
	}
}

// TestNoiseMovesNothing: after the first plans, counts that only vary at
// random leave everything where it is.
func TestNoiseMovesNothing(t *testing.T) {
	s := planner.Shape{Layers: 2, Experts: 64, Ranks: 8, Slots: 9}
	random := rand.New(rand.NewPCG(7, 7))
	p := &planner.Planner{Shape: s, Weights: planner.Weights{Skew: 10, Cost: 30}}
	now := planner.NewPlacement(s)
	base := randomLoads(s, random)
	moves := 0
	for i := range 60 {
		counts := planner.NewLoads(s)
		for l := range counts {
			for e := range counts[l] {
				counts[l][e] = base[l][e] * (1 + 0.02*random.NormFloat64())
			}
		}
		p.Observe(counts)
		plan := p.Plan(now)
		if i >= 10 {
			moves += plan.Moves()
		}
		for _, b := range plan.Batches {
			now.Apply(b)
		}
	}
	if moves > 4 {
		t.Errorf("noise of 2%% moved %d experts in 50 plans", moves)
	}
}

// TestGapsChangeNothing: a layer without counts keeps its smoothed ones.
func TestGapsChangeNothing(t *testing.T) {
	s := planner.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3}
	p := &planner.Planner{Shape: s}
	p.Observe(planner.Loads{{10, 1, 1, 1}})
	before := p.Plan(planner.NewPlacement(s)).SkewBefore
	p.Observe(planner.Loads{nil})
	p.Observe(planner.Loads{{0, 0, 0, 0}})
	if after := p.Plan(planner.NewPlacement(s)).SkewBefore; after != before {
		t.Errorf("skew %.3f after the gap, %.3f before", after, before)
	}
}

// TestStalledIsNotOverloaded tells a slow rank from a loaded one.
func TestStalledIsNotOverloaded(t *testing.T) {
	var s planner.StallDetector
	loads := []float64{100, 100, 200, 100}
	for range 3 {
		// Rank 1 is stalled; rank 2 is slow because it has twice the load.
		s.Observe([]float64{1, 1.8, 2, 1}, loads)
	}
	if got := s.Stalled(); len(got) != 1 || got[0] != 1 {
		t.Errorf("stalled: %v, want rank 1 alone", got)
	}
	s.Observe([]float64{1, 1, 2, 1}, loads)
	if got := s.Stalled(); len(got) != 0 {
		t.Errorf("stalled after it mended: %v", got)
	}
}

// TestPlanAllocations bounds what one plan of the two-year size allocates.
func TestPlanAllocations(t *testing.T) {
	s := planner.Shape{Layers: 58, Experts: 256, Ranks: 32, Slots: 9}
	random := rand.New(rand.NewPCG(3, 3))
	p := &planner.Planner{Shape: s, Weights: planner.Weights{Skew: 10, Cost: 10}}
	p.Observe(randomLoads(s, random))
	now := planner.NewPlacement(s)
	if allocs := testing.AllocsPerRun(2, func() { p.Plan(now) }); allocs > 20_000 {
		t.Errorf("%.0f allocations", allocs)
	}
}

// BenchmarkPlan shows the cost of one plan and its slope in layers, experts
// and ranks.
func BenchmarkPlan(b *testing.B) {
	for _, s := range []planner.Shape{
		{Layers: 58, Experts: 256, Ranks: 32, Slots: 9},
		{Layers: 29, Experts: 256, Ranks: 32, Slots: 9},
		{Layers: 58, Experts: 128, Ranks: 32, Slots: 5},
		{Layers: 58, Experts: 256, Ranks: 16, Slots: 17},
	} {
		b.Run(fmt.Sprintf("%dx%dx%d", s.Layers, s.Experts, s.Ranks), func(b *testing.B) {
			p := &planner.Planner{Shape: s, Weights: planner.Weights{Skew: 10, Cost: 10}}
			p.Observe(randomLoads(s, rand.New(rand.NewPCG(3, 3))))
			now := planner.NewPlacement(s)
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(now)
			}
		})
	}
}
