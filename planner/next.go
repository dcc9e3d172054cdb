package planner

import (
	"slices"

	graniteknot "graniteknot.org/go"
)

// LoadLimits bounds what one switch may load.
type LoadLimits struct {
	// PerLayer is the most experts of a layer that a rank may load.
	PerLayer int
	// PerRank is the most that a rank may load of all layers; 0 is no bound. A
	// rank loads one after the other, so it bounds the time that a switch takes.
	PerRank int
}

// SwitchPlan is one map to switch to at once.
type SwitchPlan struct {
	Placement *Placement
	// Moves is how many experts are loaded; MaxMovesPerRank is the most by one rank.
	Moves, MaxMovesPerRank int
	// Drops is how many replicas ranks give up without loading another.
	Drops int
	// SkewBefore and SkewAfter are the skews of the smoothed loads, by how long the ranks
	// take for them.
	SkewBefore, SkewAfter float64
}

// PlanSwitch returns the map that is worth switching to from the present one in
// one step. Moves and Drops are 0 when none is worth it.
func (p *Planner) PlanSwitch(now *Placement, room LoadLimits) SwitchPlan {
	next := SwitchPlan{Placement: now.Clone(), SkewBefore: 1, SkewAfter: 1}
	if p.smoothed == nil {
		return next
	}
	next.SkewBefore = now.skew(p.smoothed, p.Slowdowns)
	s := newSearch(p, now, next.Placement, room)
	s.run()
	next.Moves, next.MaxMovesPerRank, next.Drops = s.bestMoves, s.bestLongest, s.bestDrops
	next.SkewAfter = next.Placement.skew(p.smoothed, p.Slowdowns)
	return next
}

// search makes changes one after another, each in the layer where it gives the
// most for its moves, and keeps those up to where they were worth the most.
type search struct {
	threshold float64
	room      LoadLimits
	layers    []layerSearch
	// loads counts, for each rank, what it has to load of all layers.
	loads []int

	// target is the Planner's TargetSkew; longest and mean are the sums over the layers of the
	// present slots' largest rank time and of the mean load.
	target, longest, mean float64

	// worth is what the present slots are worth; moves and drops are what they take.
	worth        float64
	moves, drops int

	bestWorth              float64
	bestMoves, bestLongest int
	bestDrops              int
	// keptPresent reports that the present slots are the best ones.
	keptPresent bool
}

// layerSearch is one layer of a search.
type layerSearch struct {
	work work
	mean float64
	// before is the layer's skew as it is in force.
	before float64
	// next is the best change; ok is false when there is none.
	next change
	ok   bool
	// kept is where the best slots are stored; dirty tells that they are other ones
	// than those of work.
	kept  []graniteknot.Expert
	dirty bool
	// skew, moves and drops are of work's slots.
	skew         float64
	moves, drops int
}

func newSearch(p *Planner, now, next *Placement, room LoadLimits) *search {
	s := &search{threshold: p.threshold(), target: p.TargetSkew, bestWorth: p.MinSwitchGain, room: room, loads: make([]int, p.Shape.Ranks)}
	for l := range p.Shape.Layers {
		mean := p.smoothed[l].mean(p.Shape.Ranks)
		if mean == 0 {
			continue
		}
		one := layerSearch{mean: mean, kept: next.layer(l)}
		one.work.pace = p.Slowdowns
		one.work.reset(p.Shape, append([]graniteknot.Expert(nil), one.kept...), p.smoothed[l])
		one.work.bound = newBound(p.Shape, now.layer(l), room, s.loads)
		one.before = one.work.max() / mean
		one.skew = one.before
		s.longest += one.work.max()
		s.mean += mean
		s.layers = append(s.layers, one)
	}
	return s
}

func (s *search) run() {
	for i := range s.layers {
		s.layers[i].look()
	}
	for range len(s.loads) * s.room.PerLayer * max(1, len(s.layers)) {
		l := s.choose()
		if l == nil {
			return
		}
		l.work.apply(l.next)
		s.note(l)
		if s.targetReached() {
			return
		}
		l.look()
	}
}

// targetReached reports whether the present slots are the best ones so far and have the
// target skew.
func (s *search) targetReached() bool {
	return s.keptPresent && s.longest <= s.target*s.mean
}

// look finds a layer's best change.
func (l *layerSearch) look() { l.next, l.ok = l.work.best() }

// choose returns the layer whose best change gives the most for its moves.
func (s *search) choose() *layerSearch {
	var best *layerSearch
	value := 0.0
	for i := range s.layers {
		l := &s.layers[i]
		if l.ok && !l.work.fits(l.next) {
			// Another layer has used the rank's room.
			l.look()
		}
		if !l.ok {
			continue
		}
		if v := l.next.gain / (l.mean * l.mean * float64(l.next.moves)); v > value {
			best, value = l, v
		}
	}
	return best
}

// note takes in that a layer was changed, and keeps the present slots when they are
// worth the most.
func (s *search) note(l *layerSearch) {
	skew, moves, drops := l.work.max()/l.mean, l.work.bound.moves(), l.work.drops
	s.longest += (skew - l.skew) * l.mean
	s.worth += l.skew - skew
	s.moves += moves - l.moves
	s.drops += drops - l.drops
	l.skew, l.moves, l.drops, l.dirty = skew, moves, drops, true
	// A replica that is given up may have to be loaded again.
	worth := s.worth - s.threshold*float64(s.moves+s.drops)
	if s.keptPresent = worth > s.bestWorth; !s.keptPresent {
		return
	}
	s.keep(worth)
}

// keep stores the present slots as the best ones.
func (s *search) keep(worth float64) {
	s.bestWorth, s.bestMoves, s.bestLongest, s.bestDrops = worth, s.moves, slices.Max(s.loads), s.drops
	for i := range s.layers {
		if one := &s.layers[i]; one.dirty {
			copy(one.kept, one.work.slots)
			one.dirty = false
		}
	}
}
