package ranks

import (
	"time"

	"graniteknot.org/go/planner"
)

const (
	// changeTimes is by how many times more than usual an interval's counts have to
	// differ from those before for requests to have turned to other experts: well over
	// what chance makes, and under what a shift does.
	changeTimes = 2.2
	// firstUsual bounds what the first interval takes for usual.
	firstUsual = 0.15
	// usualWeight is the weight of an interval in what is usual.
	usualWeight = 0.1
	// fewChoices is how many times an interval has to choose each expert, at the
	// mean, to tell anything.
	fewChoices = 5
)

// window tells how often experts were chosen of late, from counts that only
// grow. What requests are about stays the same for seconds and then changes at
// once: as long as it stays, the longer the window the less of it is chance, and
// when it has changed, what was before misleads. So the window grows up to Length
// and begins anew with each change. Set Shape and Length.
type window struct {
	Shape planner.Shape
	// Length is how far it looks back at most.
	Length time.Duration
	// Rolling windows do not look for changes: they are short, and what is planned
	// for a mixture is soon planned again.
	Rolling bool

	// taken holds the counts of all ranks, oldest first; the first is the last
	// that is at least Length older than the newest.
	taken []sample
	// usual is by how much an interval differs from those before it when nothing
	// has changed; 0 before the first.
	usual float64
	// suspect tells that the newest interval differs from those before it: by
	// chance, or by a change, of which a part of it may still be from before.
	suspect bool
	// changed tells that the newest interval is the first after a change.
	changed bool
	// changes counts the changes.
	changes int
}

// newWindow returns the window for experts that take so long to load.
func newWindow(s planner.Shape, load time.Duration) window {
	if load < patientLoad && s.Ranks <= leastPart*leastPart {
		return window{Shape: s, Length: rollingLength, Rolling: true}
	}
	return window{Shape: s, Length: windowLength}
}

// sample is one look at the counts of all ranks.
type sample struct {
	at     time.Time
	counts [][]uint64
}

// add takes in the counts of all ranks.
func (w *window) add(at time.Time, counts [][]uint64) {
	w.taken = append(w.taken, sample{at, counts})
	if !w.Rolling {
		w.judge()
	}
	for len(w.taken) > 2 && !w.suspect && at.Sub(w.taken[1].at) >= w.Length {
		w.taken = w.taken[1:]
	}
}

// judge finds out whether what is chosen has changed. An interval that differs is
// suspect; if the next one differs as well from what was before both, that one is the
// first after a change. Else it was chance, as with the few requests of a short
// interval.
func (w *window) judge() {
	w.changed = false
	last := len(w.taken) - 1
	before := last - 1
	if w.suspect {
		before--
	}
	if before < 1 {
		w.suspect = false
		return
	}
	now := w.between(last-1, last)
	if now.Total() < w.few() {
		return
	}
	by := now.Distance(w.between(0, before))
	differs := w.usual > 0 && by > changeTimes*w.usual
	if w.suspect && differs {
		w.changed = true
		w.changes++
		w.taken = w.taken[last-1:]
	}
	w.suspect = differs && !w.suspect
	if w.usual == 0 {
		w.usual = min(by, firstUsual)
	}
	// What differs much counts for a little more than usual: a shift is over with
	// one or two intervals, while fewer requests differ more as long as they are few.
	w.usual += usualWeight * (min(by, changeTimes*w.usual) - w.usual)
}

// forget drops what was taken.
func (w *window) forget() { w.taken, w.suspect, w.changed = nil, false, false }

// loads returns the counts within the window; false before there are two looks
// of them.
func (w *window) loads() (planner.Loads, bool) {
	if len(w.taken) < 2 {
		return nil, false
	}
	return w.between(0, len(w.taken)-1), true
}

// newest returns the counts of the newest interval and when they were taken; false
// before there is one, or when it holds too few to tell anything.
func (w *window) newest() (planner.Loads, time.Time, bool) {
	last := len(w.taken) - 1
	if last < 1 {
		return nil, time.Time{}, false
	}
	loads := w.between(last-1, last)
	return loads, w.taken[last].at, loads.Total() >= w.few()
}

// few is how many choices an interval has to hold to tell anything.
func (w *window) few() float64 { return float64(fewChoices * w.Shape.Layers * w.Shape.Experts) }

// between returns the counts from one look to another.
func (w *window) between(from, to int) planner.Loads {
	s := w.Shape
	loads := planner.NewLoads(s)
	first, last := w.taken[from], w.taken[to]
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
	return loads
}
