package ranks

import (
	"time"

	"graniteknot.org/go/planner"
)

// steadyLength is the maximum length of a steadyWindow. A stream lasts about a second and has
// preferences of its own, so with few streams the counts of less than a second are those of
// the streams that happen to run, not those of the ones to come.
const steadyLength = 4 * time.Second

// steadyWindow extends a rolling window back to the last load shift, or to between half of
// steadyLength and all of it. It determines the map that a later burst needs; the rolling
// window alone would have experts moved for each change in which streams run. The zero value
// is ready to use.
type steadyWindow struct {
	// anchors are the samples at which the window begins and at which the next one does.
	anchors []groupCounts
	// baseline is the usual distance between the counts of the rolling window and the earlier
	// ones; 0 before the first.
	baseline float64
	// shiftedAt is when the last load shift was detected. The rolling window holds counts from
	// before it until its length has passed.
	shiftedAt time.Time
}

func (s *steadyWindow) reset() { *s = steadyWindow{} }

// add takes in the newest sample of a rolling window.
func (s *steadyWindow) add(w *countWindow) {
	first, newest := w.samples[0], w.samples[len(w.samples)-1]
	if s.shifted(w) {
		s.shiftedAt = newest.at
	}
	if len(s.anchors) == 0 || newest.at.Sub(s.shiftedAt) < w.Length {
		s.anchors = append(s.anchors[:0], first)
		return
	}
	latest := s.anchors[len(s.anchors)-1]
	if newest.at.Sub(latest.at) < steadyLength/2 {
		return
	}
	s.anchors = append(s.anchors, newest)
	if len(s.anchors) > 2 {
		s.anchors = s.anchors[1:]
	}
}

// shifted reports whether the rolling window's counts differ from the earlier ones by more
// than usual. If they differ by chance, the window only starts anew.
func (s *steadyWindow) shifted(w *countWindow) bool {
	if len(s.anchors) == 0 {
		return false
	}
	last := len(w.samples) - 1
	recent, earlier := w.loadsBetween(0, last), w.growth(&s.anchors[0], &w.samples[0])
	if recent.Total() < w.minChoices() || earlier.Total() < w.minChoices() {
		return false
	}
	distance := recent.Distance(earlier)
	if s.baseline == 0 {
		s.baseline = min(distance, maxFirstBaseline)
	}
	shifted := distance > shiftRatio*s.baseline
	s.baseline += baselineSmoothing * (min(distance, shiftRatio*s.baseline) - s.baseline)
	return shifted
}

// steadyLoads returns the loads since the last load shift, within limits, and the time that
// they cover. It returns the same as loads where the window is not a rolling one.
func (w *countWindow) steadyLoads() (planner.Loads, time.Duration, bool) {
	if len(w.samples) < 2 {
		return nil, 0, false
	}
	first, last := &w.samples[0], &w.samples[len(w.samples)-1]
	if w.Rolling && len(w.steady.anchors) > 0 {
		first = &w.steady.anchors[0]
	}
	return w.growth(first, last), last.at.Sub(first.at), true
}
