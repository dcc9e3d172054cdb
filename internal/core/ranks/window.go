package ranks

import (
	"time"

	"graniteknot.org/go/planner"
)

// window tells how often experts were chosen of late, from counts that only
// grow. Set Shape.
type window struct {
	Shape planner.Shape
	// Length is how far it looks back.
	Length time.Duration

	// taken holds the counts of all ranks, oldest first; the first is the last
	// that is at least Length older than the newest.
	taken []sample
}

// sample is one look at the counts of all ranks.
type sample struct {
	at     time.Time
	counts [][]uint64
}

// add takes in the counts of all ranks.
func (w *window) add(at time.Time, counts [][]uint64) {
	w.taken = append(w.taken, sample{at, counts})
	for len(w.taken) > 2 && at.Sub(w.taken[1].at) >= w.Length {
		w.taken = w.taken[1:]
	}
}

// forget drops what was taken.
func (w *window) forget() { w.taken = nil }

// loads returns the counts within the window; false before there are two looks
// of them.
func (w *window) loads() (planner.Loads, bool) {
	if len(w.taken) < 2 {
		return nil, false
	}
	s := w.Shape
	loads := planner.NewLoads(s)
	first, last := w.taken[0], w.taken[len(w.taken)-1]
	for r := range last.counts {
		now, before := last.counts[r], first.counts[r]
		if len(now) != s.Layers*s.Experts || len(before) != len(now) {
			continue
		}
		for i := range now {
			// Counts fall when a rank has started anew.
			if now[i] >= before[i] {
				loads[i/s.Experts][i%s.Experts] += float64(now[i] - before[i])
			}
		}
	}
	return loads, true
}
