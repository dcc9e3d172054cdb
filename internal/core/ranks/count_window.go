package ranks

import (
	"time"

	"graniteknot.org/go/planner"
)

const (
	// shiftRatio is by how many times more than usual an interval's counts have to
	// differ from those before for requests to have turned to other experts: well over
	// what chance makes, and under what a shift does.
	shiftRatio = 2.2
	// maxFirstBaseline bounds what the first interval takes for usual.
	maxFirstBaseline = 0.15
	// baselineSmoothing is the weight of an interval in what is usual.
	baselineSmoothing = 0.1
	// minMeanChoices is how many times an interval has to choose each expert, at the
	// mean, to tell anything.
	minMeanChoices = 5
)

// countWindow tells how often experts were chosen of late, from counts that only
// grow. What requests are about stays the same for seconds and then changes at
// once: as long as it stays, the longer the countWindow the less of it is chance, and
// when it has changed, what was before misleads. So the countWindow grows up to Length
// and begins anew with each change. Set Shape and Length.
type countWindow struct {
	Shape planner.Shape
	// Length is how far it looks back at most.
	Length time.Duration
	// Rolling windows do not look for changes: they are short, and what is planned
	// for a mixture is soon planned again.
	Rolling bool

	// samples holds the counts of all ranks, oldest first; the first is the last
	// that is at least Length older than the newest.
	samples []groupCounts
	// baseline is by how much an interval differs from those before it when nothing
	// has changed; 0 before the first.
	baseline float64
	// suspect tells that the newest interval differs from those before it: by
	// chance, or by a change, of which a part of it may still be from before.
	suspect bool
	// shifted tells that the newest interval is the first after a change.
	shifted bool
	// shifts counts the shifts.
	shifts int
}

// newCountWindow returns the window for experts that take so long to load.
func newCountWindow(s planner.Shape, load time.Duration) countWindow {
	if load < slowExpertLoad && s.Ranks <= minSubtree*minSubtree {
		return countWindow{Shape: s, Length: rollingLength, Rolling: true}
	}
	return countWindow{Shape: s, Length: windowLength}
}

// groupCounts is one look at the counts of all ranks.
type groupCounts struct {
	at     time.Time
	counts [][]uint64
}

// add takes in the counts of all ranks.
func (w *countWindow) add(at time.Time, counts [][]uint64) {
	w.samples = append(w.samples, groupCounts{at, counts})
	if !w.Rolling {
		w.detectShift()
	}
	for len(w.samples) > 2 && !w.suspect && at.Sub(w.samples[1].at) >= w.Length {
		w.samples = w.samples[1:]
	}
}

// detectShift finds out whether what is chosen has changed. An interval that differs is
// suspect; if the next one differs as well from what was before both, that one is the
// first after a change. Else it was chance, as with the few requests of a short
// interval.
func (w *countWindow) detectShift() {
	w.shifted = false
	last := len(w.samples) - 1
	before := last - 1
	if w.suspect {
		before--
	}
	if before < 1 {
		w.suspect = false
		return
	}
	now := w.loadsBetween(last-1, last)
	if now.Total() < w.minChoices() {
		return
	}
	by := now.Distance(w.loadsBetween(0, before))
	differs := w.baseline > 0 && by > shiftRatio*w.baseline
	if w.suspect && differs {
		w.shifted = true
		w.shifts++
		w.samples = w.samples[last-1:]
	}
	w.suspect = differs && !w.suspect
	if w.baseline == 0 {
		w.baseline = min(by, maxFirstBaseline)
	}
	// What differs much counts for a little more than usual: a shift is over with
	// one or two intervals, while fewer requests differ more as long as they are few.
	w.baseline += baselineSmoothing * (min(by, shiftRatio*w.baseline) - w.baseline)
}

// reset drops what was taken.
func (w *countWindow) reset() { w.samples, w.suspect, w.shifted = nil, false, false }

// loads returns the counts within the window; false before there are two looks
// of them.
func (w *countWindow) loads() (planner.Loads, bool) {
	if len(w.samples) < 2 {
		return nil, false
	}
	return w.loadsBetween(0, len(w.samples)-1), true
}

// newestLoads returns the counts of the newestLoads interval and when they were taken; false
// before there is one, or when it holds too few to tell anything.
func (w *countWindow) newestLoads() (planner.Loads, time.Time, bool) {
	last := len(w.samples) - 1
	if last < 1 {
		return nil, time.Time{}, false
	}
	loads := w.loadsBetween(last-1, last)
	return loads, w.samples[last].at, loads.Total() >= w.minChoices()
}

// minChoices is how many choices an interval has to hold to tell anything.
func (w *countWindow) minChoices() float64 {
	return float64(minMeanChoices * w.Shape.Layers * w.Shape.Experts)
}

// loadsBetween returns the counts from one look to another.
func (w *countWindow) loadsBetween(from, to int) planner.Loads {
	s := w.Shape
	loads := planner.NewLoads(s)
	first, last := w.samples[from], w.samples[to]
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
