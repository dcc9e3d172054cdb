package planner_test

import (
	"fmt"

	"graniteknot.org/go/planner"
)

// One expert is hot; a replica of it takes the place of one that is not.
func Example() {
	shape := planner.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3}
	p := &planner.Planner{Shape: shape, Weights: planner.Weights{Skew: 10, Cost: 10}}
	p.Observe(planner.Loads{{10, 10, 10, 90}})
	now := planner.NewPlacement(shape)
	plan := p.Plan(now)
	fmt.Printf("skew %.2f, then %.2f with %d moves\n", plan.SkewBefore, plan.SkewAfter, plan.Moves())
	// Output:
	// skew 1.67, then 1.00 with 1 moves
}
