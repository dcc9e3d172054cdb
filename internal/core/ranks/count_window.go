package ranks

import (
	"time"

	"graniteknot.org/go/planner"
)

const (
	// shiftRatio is the multiple of the baseline from which the distance between an
	// interval's counts and the earlier ones counts as a load shift: well above random
	// variation and below real shifts.
	shiftRatio = 2.2
	// maxFirstBaseline bounds the baseline taken from the first interval.
	maxFirstBaseline = 0.15
	// baselineSmoothing is the weight of an interval in the baseline.
	baselineSmoothing = 0.1
	// minMeanChoices is how often an interval has to choose each expert, on average, to be
	// significant.
	minMeanChoices = 5
)

// countWindow computes the recent load of experts from cumulative counts. The topics of
// requests stay the same for seconds and then change at once. While they are stable, a
// longer window has less noise; after a shift, older counts mislead. The window therefore
// grows up to Length and restarts at each shift. Set Shape and Length.
type countWindow struct {
	Shape planner.Shape
	// Length is the maximum length of the window.
	Length time.Duration
	// Rolling disables the detection of shifts. Rolling windows are short, and a map
	// planned from mixed counts is soon replaced.
	Rolling bool

	// samples holds the counts of all ranks, oldest first. The first is the last one that
	// is at least Length older than the newest.
	samples []groupCounts
	// baseline is the usual distance between an interval's counts and the earlier ones
	// while the load is stable; 0 before the first.
	baseline float64
	// suspect reports that the newest interval differs from the earlier ones, either by
	// chance or because a shift happened within it.
	suspect bool
	// shifted reports that the newest interval is the first after a shift.
	shifted bool
	// shifts counts the shifts.
	shifts int
	// steady is the longer window of Rolling ones.
	steady steadyWindow
}

// newCountWindow returns the window for a group whose experts take the given time to load.
func newCountWindow(s planner.Shape, loadTime time.Duration) countWindow {
	if loadTime < slowExpertLoad && s.Ranks <= minSubtreeSize*minSubtreeSize {
		return countWindow{Shape: s, Length: rollingLength, Rolling: true}
	}
	return countWindow{Shape: s, Length: windowLength}
}

// groupCounts holds the counts of all ranks at one time.
type groupCounts struct {
	at     time.Time
	counts [][]uint64
}

// add adds the counts of all ranks.
func (w *countWindow) add(at time.Time, counts [][]uint64) {
	w.samples = append(w.samples, groupCounts{at, counts})
	if !w.Rolling {
		w.detectShift()
	}
	for len(w.samples) > 2 && !w.suspect && at.Sub(w.samples[1].at) >= w.Length {
		w.samples = w.samples[1:]
	}
	if w.Rolling {
		w.steady.add(w)
	}
}

// detectShift detects whether the load has shifted. An interval that differs from the
// earlier ones is suspect. If the next one differs from them too, it is the first after a
// shift. Otherwise the difference was chance, as with few requests in a short interval.
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
	newest := w.loadsBetween(last-1, last)
	if newest.Total() < w.minChoices() {
		return
	}
	distance := newest.Distance(w.loadsBetween(0, before))
	differs := w.baseline > 0 && distance > shiftRatio*w.baseline
	if w.suspect && differs {
		w.shifted = true
		w.shifts++
		w.samples = w.samples[last-1:]
	}
	w.suspect = differs && !w.suspect
	if w.baseline == 0 {
		w.baseline = min(distance, maxFirstBaseline)
	}
	// A large distance raises the baseline only a little: a shift is over after one or two
	// intervals, while a low request rate keeps the distance higher for as long as it
	// lasts.
	w.baseline += baselineSmoothing * (min(distance, shiftRatio*w.baseline) - w.baseline)
}

// reset drops all counts.
func (w *countWindow) reset() {
	w.samples, w.suspect, w.shifted = nil, false, false
	w.steady.reset()
}

// loads returns the loads within the window; false with fewer than two samples.
func (w *countWindow) loads() (planner.Loads, bool) {
	if len(w.samples) < 2 {
		return nil, false
	}
	return w.loadsBetween(0, len(w.samples)-1), true
}

// newestLoads returns the loads of the newest interval and its end; false when there is
// none or it has too few choices to be significant.
func (w *countWindow) newestLoads() (planner.Loads, time.Time, bool) {
	last := len(w.samples) - 1
	if last < 1 {
		return nil, time.Time{}, false
	}
	loads := w.loadsBetween(last-1, last)
	return loads, w.samples[last].at, loads.Total() >= w.minChoices()
}

// minChoices returns how many choices an interval needs to be significant.
func (w *countWindow) minChoices() float64 {
	return float64(minMeanChoices * w.Shape.Layers * w.Shape.Experts)
}

// loadsBetween returns the loads from one sample to another.
func (w *countWindow) loadsBetween(from, to int) planner.Loads {
	return w.growth(&w.samples[from], &w.samples[to])
}

// growth returns the loads by which counts have grown from one sample to another.
func (w *countWindow) growth(first, last *groupCounts) planner.Loads {
	s := w.Shape
	loads := planner.NewLoads(s)
	for r := range last.counts {
		now, before := last.counts[r], first.counts[r]
		if len(now) != s.Layers*s.Experts || len(before) != len(now) {
			continue
		}
		for i := range now {
			// A count falls when its rank has restarted.
			if now[i] >= before[i] {
				loads[i/s.Experts][i%s.Experts] += float64(now[i] - before[i])
			}
		}
	}
	return loads
}
