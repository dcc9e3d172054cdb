package planner

import (
	"math/bits"

	graniteknot "graniteknot.org/go"
)

// work is one layer under change.
type work struct {
	shape Shape
	// slots holds the experts by rank and slot.
	slots []graniteknot.Expert
	load  LayerLoad
	// replicas counts the ranks that hold each expert; never zero.
	replicas []int
	// rank is the load of each rank.
	rank []float64
	// shares is the load that each replica of an expert carries.
	shares []float64
	// holders is the set of ranks that hold each expert, a bit for each.
	holders []uint64
	// held is the sum of the loads of the ranks that hold each expert.
	held []float64
	// bound, if it is set, says which changes may be made.
	bound *bound
}

func (w *work) reset(s Shape, slots []graniteknot.Expert, load LayerLoad) {
	w.shape, w.slots, w.load = s, slots, load
	w.replicas = cleared(w.replicas, s.Experts)
	w.rank = cleared(w.rank, s.Ranks)
	w.holders = cleared(w.holders, s.Experts)
	w.held = cleared(w.held, s.Experts)
	for i, e := range slots {
		if e == Blank {
			continue
		}
		w.replicas[e]++
		w.holders[e] |= 1 << (i / s.Slots)
	}
	w.shares = cleared(w.shares, s.Experts)
	for e, n := range w.replicas {
		w.shares[e] = load[e] / float64(n)
	}
	for i, e := range slots {
		if e != Blank {
			w.rank[i/s.Slots] += w.shares[e]
		}
	}
	for i, e := range slots {
		if e != Blank {
			w.held[e] += w.rank[i/s.Slots]
		}
	}
}

func (w *work) holds(r int, e graniteknot.Expert) bool { return w.holders[e]&(1<<r) != 0 }

func cleared[T int | float64 | uint64](list []T, n int) []T {
	if cap(list) < n {
		return make([]T, n)
	}
	list = list[:n]
	clear(list)
	return list
}

func (w *work) max() float64 { return w.rank[w.hottest()] }

func (w *work) hottest() int {
	best := 0
	for r, v := range w.rank {
		if v > w.rank[best] {
			best = r
		}
	}
	return best
}

func (w *work) on(r int) []graniteknot.Expert {
	return w.slots[r*w.shape.Slots : (r+1)*w.shape.Slots]
}

// change is one step of the search: slot i of the hot rank and slot j of
// another are exchanged, or the other's slot takes a replica of the hot one's
// expert.
type change struct {
	hot, other int
	i, j       int
	replicate  bool
	// gain is what the sum of the squared rank loads falls by. The largest load
	// alone would not do: while several ranks are equally hot, no single change
	// lowers it.
	gain float64
	// moves is how many experts are loaded.
	moves int
}

// best returns the change with the largest gain for its moves.
func (w *work) best() (change, bool) {
	hot := w.hottest()
	mean := w.load.mean(w.shape.Ranks)
	found := change{}
	for other := range w.rank {
		if w.rank[other] >= mean {
			continue
		}
		for i, e := range w.on(hot) {
			if e != Blank && !w.holds(other, e) {
				w.bestWith(hot, other, i, &found)
			}
		}
	}
	return found, found.moves > 0
}

// bestWith tries every slot of the other rank for one expert of the hot one.
func (w *work) bestWith(hot, other, i int, found *change) {
	e := w.on(hot)[i]
	gap := w.rank[hot] - w.rank[other]
	for j, f := range w.on(other) {
		if (f == Blank || w.replicas[f] > 1) && w.bound.allows(other, e, f) {
			gain := w.replicaGain(other, e, f)
			found.offer(change{hot: hot, other: other, i: i, j: j, replicate: true, gain: gain, moves: 1})
		}
		if f == Blank {
			continue
		}
		d := w.shares[e] - w.shares[f]
		if d > 0 && d < gap && !w.holds(hot, f) && w.bound.allows(other, e, f) && w.bound.allows(hot, f, e) {
			found.offer(change{hot: hot, other: other, i: i, j: j, gain: 2 * d * (gap - d), moves: 2})
		}
	}
}

// offer keeps the better one.
func (c *change) offer(o change) {
	if o.gain <= 0 {
		return
	}
	if c.moves == 0 || o.gain*float64(c.moves) > c.gain*float64(o.moves) {
		*c = o
	}
}

// replicaGain is the gain of a replica of e in the place of one of f. The
// other holders of e carry less, those of f more, and the other rank the
// difference.
func (w *work) replicaGain(other int, e, f graniteknot.Expert) float64 {
	n := float64(w.replicas[e])
	added := w.load[e] / (n + 1)
	less := w.shares[e] - added
	if f == Blank {
		return less*(2*w.held[e]-n*less) - added*(2*w.rank[other]+added)
	}
	m := float64(w.replicas[f])
	more := w.load[f]/(m-1) - w.shares[f]
	own := added - w.shares[f]
	both := float64(bits.OnesCount64(w.holders[e] & w.holders[f]))
	gain := less * (2*w.held[e] - n*less)
	gain -= more * (2*(w.held[f]-w.rank[other]) + (m-1)*more)
	gain += 2 * less * more * both
	return gain - own*(2*w.rank[other]+own)
}

// fits tells whether the bound still allows a change.
func (w *work) fits(c change) bool {
	e, f := w.on(c.hot)[c.i], w.on(c.other)[c.j]
	return w.bound.allows(c.other, e, f) && (c.replicate || w.bound.allows(c.hot, f, e))
}

// apply makes a change.
func (w *work) apply(c change) {
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
