package planner

import (
	"math/bits"

	graniteknot "graniteknot.org/go"
)

// change is one step of the search: slot i of the hot rank and slot j of
// another are exchanged, or the other's slot takes a replica of the hot one's
// expert, or the hot rank's slot is emptied.
type change struct {
	hot, other int
	i, j       int
	replicate  bool
	drop       bool
	// gain is what the sum of the squared times of the ranks falls by. The largest
	// time alone would not do: while several ranks are equally hot, no single
	// change lowers it.
	gain float64
	// moves is how many slots take another expert, or none.
	moves int
}

// best returns the change with the largest gain for its moves.
func (w *work) best() (change, bool) {
	hot := w.hottest()
	ideal := w.ideal()
	found := change{}
	w.bestDrop(hot, &found)
	for other := range w.rank {
		if w.time(other) >= ideal {
			continue
		}
		swaps := w.swapBound(hot, other) > 0 && found.beatenBy(w.swapBound(hot, other), swapMoves)
		for i, e := range w.on(hot) {
			if e != EmptySlot && !w.holds(other, e) {
				w.bestWith(hot, other, i, swaps, &found)
			}
		}
	}
	return found, found.moves > 0
}

// swapMoves is how many slots an exchange changes.
const swapMoves = 2

// swapBound is the largest gain that any exchange between two ranks can have: that of
// the loads whose exchange leaves both with the least sum of squares.
func (w *work) swapBound(hot, other int) float64 {
	a, b := w.square[hot], w.square[other]
	top := a*w.rank[hot] - b*w.rank[other]
	return top * top / (a + b)
}

// bestWith tries every slot of the other rank for one expert of the hot one. What a
// change gains is worked out before whether it is allowed, since few gain more than
// the best so far.
func (w *work) bestWith(hot, other, i int, swaps bool, found *change) {
	e := w.on(hot)[i]
	for j, f := range w.on(other) {
		if f == EmptySlot || w.replicas[f] > 1 {
			gain := w.replicaGain(other, e, f)
			if found.beatenBy(gain, 1) && w.bound.allows(other, e, f) {
				*found = change{hot: hot, other: other, i: i, j: j, replicate: true, gain: gain, moves: 1}
			}
		}
		if f == EmptySlot || !swaps {
			continue
		}
		d := w.shares[e] - w.shares[f]
		if d <= 0 {
			continue
		}
		gain := w.square[hot]*d*(2*w.rank[hot]-d) - w.square[other]*d*(2*w.rank[other]+d)
		if found.beatenBy(gain, swapMoves) && !w.holds(hot, f) && w.bound.allows(other, e, f) && w.bound.allows(hot, f, e) {
			*found = change{hot: hot, other: other, i: i, j: j, gain: gain, moves: swapMoves}
		}
	}
}

// beatenBy tells whether a change of some gain and moves would be better.
func (c *change) beatenBy(gain float64, moves int) bool {
	return gain > 0 && (c.moves == 0 || gain*float64(c.moves) > c.gain*float64(moves))
}

// bestDrop tries to take each expert out of the hot rank that others hold too.
// That pays where the rank is slow; among healthy ranks a replica that is given
// up now has to be loaded again soon. Only searches with a bound do it.
func (w *work) bestDrop(hot int, found *change) {
	if w.bound == nil || w.pace == nil {
		return
	}
	for i, e := range w.on(hot) {
		if e == EmptySlot || w.replicas[e] < 2 {
			continue
		}
		if gain := w.dropGain(hot, e); found.beatenBy(gain, 1) {
			*found = change{hot: hot, other: hot, i: i, j: i, drop: true, gain: gain, moves: 1}
		}
	}
}

// dropGain is the gain of taking e out of a rank; its other holders carry more.
func (w *work) dropGain(r int, e graniteknot.Expert) float64 {
	own := w.shares[e]
	more := w.load[e]/float64(w.replicas[e]-1) - own
	gain := w.square[r] * own * (2*w.rank[r] - own)
	return gain - more*(2*(w.held[e]-w.square[r]*w.rank[r])+(w.heavy[e]-w.square[r])*more)
}

// replicaGain is the gain of a replica of e in the place of one of f. The
// other holders of e carry less, those of f more, and the other rank the
// difference.
func (w *work) replicaGain(other int, e, f graniteknot.Expert) float64 {
	square := w.square[other]
	added := w.load[e] / float64(w.replicas[e]+1)
	less := w.shares[e] - added
	gain := less * (2*w.held[e] - w.heavy[e]*less)
	if f == EmptySlot {
		return gain - square*added*(2*w.rank[other]+added)
	}
	more := w.load[f]/float64(w.replicas[f]-1) - w.shares[f]
	own := added - w.shares[f]
	gain -= more * (2*(w.held[f]-square*w.rank[other]) + (w.heavy[f]-square)*more)
	gain += 2 * less * more * w.weightOf(e, f)
	return gain - square*own*(2*w.rank[other]+own)
}

// weightOf is the sum of the weights of the ranks that hold both of two experts.
func (w *work) weightOf(e, f graniteknot.Expert) float64 {
	sum := 0.0
	for i := range w.words {
		both := w.holders[int(e)*w.words+i] & w.holders[int(f)*w.words+i]
		for ; both != 0; both &= both - 1 {
			sum += w.square[i*wordBits+bits.TrailingZeros64(both)]
		}
	}
	return sum
}

// fits tells whether the bound still allows a change.
func (w *work) fits(c change) bool {
	if c.drop {
		return true
	}
	e, f := w.on(c.hot)[c.i], w.on(c.other)[c.j]
	return w.bound.allows(c.other, e, f) && (c.replicate || w.bound.allows(c.hot, f, e))
}

// apply makes a change.
func (w *work) apply(c change) {
	if c.drop {
		w.drop(c)
		return
	}
	e := w.on(c.hot)[c.i]
	w.bound.note(c.other, e, w.on(c.other)[c.j])
	if !c.replicate {
		w.bound.note(c.hot, w.on(c.other)[c.j], e)
	}
	if c.replicate {
		w.on(c.other)[c.j] = e
	} else {
		w.on(c.hot)[c.i], w.on(c.other)[c.j] = w.on(c.other)[c.j], e
	}
	w.reset(w.shape, w.slots, w.load)
}

// drop takes an expert out of the hot rank.
func (w *work) drop(c change) {
	w.bound.note(c.hot, EmptySlot, w.on(c.hot)[c.i])
	w.on(c.hot)[c.i] = EmptySlot
	w.drops++
	w.reset(w.shape, w.slots, w.load)
}
