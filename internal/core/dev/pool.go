package dev

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap"
	"graniteknot.org/go/internal/core/mapkeeper"
	"graniteknot.org/go/internal/standin/ranks"
	"graniteknot.org/go/internal/standin/weights"
	"graniteknot.org/go/planner"
)

// The shape of the rank group that both partners' experts share.
const (
	groupLayers  = 2
	groupExperts = 64
	groupRanks   = 8
	groupSlots   = 9
	groupStep    = 4500 * time.Microsecond
	groupPeriod  = 200 * time.Millisecond
	groupLead    = 4
	expertSize   = graniteknot.Bytes(1 << 20)
	weightRate   = graniteknot.Bytes(1 << 30)
	firstMap     = expertmap.Version(1)
)

// pool is the shared rank group and the keeper of its map.
type pool struct {
	ranks *ranks.Group
	loop  *mapkeeper.Loop
}

// newPool builds the group; the weights of skew and cost come from the
// settings of both partners.
func (c *Cluster) newPool(day Day) *pool {
	shape := planner.Shape{Layers: groupLayers, Experts: groupExperts, Ranks: groupRanks, Slots: groupSlots}
	placement := planner.NewPlacement(shape)
	group := ranks.New(ranks.Config{
		Shape: shape, Step: groupStep, Day: day.Length, ExpertSize: expertSize,
		Weights: &weights.Store{Rate: weightRate}, Seed: 1,
	}, firstMap, placement)
	return &pool{ranks: group, loop: &mapkeeper.Loop{
		Transport: group, Planner: &planner.Planner{Shape: shape}, Placement: placement, PlanInterval: groupPeriod,
		Coordinator: &expertmap.Coordinator{Incarnation: graniteknot.NewIncarnation(time.Now()), Ranks: groupRanks, InitialVersion: firstMap, Lead: groupLead},
		ExpertSize:  expertSize, Weights: c.weights,
	}}
}

// weights blends both partners' weights, in equal parts.
func (c *Cluster) weights() planner.Weights {
	tree := c.Model[0].Node.Store.Tree()
	of := func(p *Partner) planner.Weights {
		skew, cost := tree.Weights(p.Name)
		return planner.Weights{Skew: float64(skew), Cost: float64(cost)}
	}
	return planner.BlendWeights(of(c.Partners[0]), of(c.Partners[1]), 1, 1)
}
