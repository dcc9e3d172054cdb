package planner

import graniteknot "graniteknot.org/go"

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
	// holders are the sets of ranks that hold each expert, a bit for each rank in as
	// many words as these take.
	holders []uint64
	words   int
	// pace is how many times slower each rank is than a healthy one; nil when all
	// are healthy.
	pace []float64
	// square is the square of each rank's pace: its weight in the sum that the
	// search lowers.
	square []float64
	// held is the sum of the weighted loads of the ranks that hold each expert,
	// and heavy that of their weights.
	held, heavy []float64
	// drops counts the replicas that were taken out without another in their
	// place.
	drops int
	// bound, if it is set, says which changes may be made.
	bound *bound
}

func (w *work) reset(s Shape, slots []graniteknot.Expert, load LayerLoad) {
	w.shape, w.slots, w.load = s, slots, load
	w.replicas = cleared(w.replicas, s.Experts)
	w.rank = cleared(w.rank, s.Ranks)
	w.words = (s.Ranks + wordBits - 1) / wordBits
	w.holders = cleared(w.holders, s.Experts*w.words)
	w.held = cleared(w.held, s.Experts)
	w.heavy = cleared(w.heavy, s.Experts)
	w.weigh()
	for i, e := range slots {
		if e == EmptySlot {
			continue
		}
		w.replicas[e]++
		r := i / s.Slots
		w.holders[int(e)*w.words+r/wordBits] |= 1 << (r % wordBits)
	}
	w.shares = cleared(w.shares, s.Experts)
	for e, n := range w.replicas {
		w.shares[e] = load[e] / float64(n)
	}
	for i, e := range slots {
		if e != EmptySlot {
			w.rank[i/s.Slots] += w.shares[e]
		}
	}
	for i, e := range slots {
		if e != EmptySlot {
			w.held[e] += w.square[i/s.Slots] * w.rank[i/s.Slots]
			w.heavy[e] += w.square[i/s.Slots]
		}
	}
}

// weigh sets the ranks' weights.
func (w *work) weigh() {
	w.square = cleared(w.square, w.shape.Ranks)
	for r := range w.square {
		w.square[r] = 1
		if w.pace != nil {
			w.square[r] = w.pace[r] * w.pace[r]
		}
	}
}

// time is how long a rank takes for its load, in a healthy rank's units.
func (w *work) time(r int) float64 {
	if w.pace == nil {
		return w.rank[r]
	}
	return w.pace[r] * w.rank[r]
}

// ideal is the time that all ranks would take if the load could be divided at
// will: slower ranks would get less.
func (w *work) ideal() float64 {
	if w.pace == nil {
		return w.load.mean(w.shape.Ranks)
	}
	healthy := 0.0
	for _, p := range w.pace {
		healthy += 1 / p
	}
	return w.load.mean(1) / healthy
}

// wordBits is how many ranks a word of a set holds.
const wordBits = 64

func (w *work) holds(r int, e graniteknot.Expert) bool {
	return w.holders[int(e)*w.words+r/wordBits]&(1<<(r%wordBits)) != 0
}

func cleared[T int | float64 | uint64](list []T, n int) []T {
	if cap(list) < n {
		return make([]T, n)
	}
	list = list[:n]
	clear(list)
	return list
}

// max is the time of the rank that takes the longest.
func (w *work) max() float64 { return w.time(w.hottest()) }

func (w *work) hottest() int {
	best := 0
	for r := range w.rank {
		if w.time(r) > w.time(best) {
			best = r
		}
	}
	return best
}

func (w *work) on(r int) []graniteknot.Expert {
	return w.slots[r*w.shape.Slots : (r+1)*w.shape.Slots]
}
