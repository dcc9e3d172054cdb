package planner

// Next is one map to switch to at once.
type Next struct {
	Placement *Placement
	// Moves is how many experts are loaded.
	Moves int
	// Before and After are the skews of the smoothed loads.
	Before, After float64
}

// PlanNext returns the map that is worth switching to from the present one in
// one step, in which each rank loads at most the given number of experts of a
// layer. Moves is 0 when none is worth it.
func (p *Planner) PlanNext(now *Placement, perRank int) Next {
	next := Next{Placement: now.Clone(), Before: 1, After: 1}
	if p.smoothed == nil {
		return next
	}
	next.Before = now.Skew(p.smoothed)
	for l := range p.Shape.Layers {
		next.Moves += p.layerNext(l, now, next.Placement, perRank)
	}
	next.After = next.Placement.Skew(p.smoothed)
	return next
}

// layerNext changes one layer and returns how many experts are loaded.
func (p *Planner) layerNext(l int, now, next *Placement, perRank int) int {
	mean := p.smoothed[l].mean(p.Shape.Ranks)
	if mean == 0 {
		return 0
	}
	w := &p.work
	w.reset(p.Shape, next.layer(l), p.smoothed[l])
	w.bound = newBound(p.Shape, now.layer(l), perRank)
	defer func() { w.bound = nil }()
	before := w.max() / mean
	bestWorth, bestMoves := 0.0, 0
	best := append(p.slots[:0], w.slots...)
	for range p.Shape.Ranks * perRank {
		c, ok := w.best()
		if !ok {
			break
		}
		w.apply(c)
		moves := w.bound.loads()
		if worth := before - w.max()/mean - p.threshold()*float64(moves); worth > bestWorth {
			bestWorth, bestMoves = worth, moves
			best = append(best[:0], w.slots...)
		}
	}
	copy(next.layer(l), best)
	p.slots = best
	return bestMoves
}
