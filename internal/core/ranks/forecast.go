package ranks

import (
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

const (
	// skewSmoothing is the weight of an interval in the skew that is told, and jump by
	// how much larger an interval's is to be told at once.
	skewSmoothing = 0.4
	skewJumpRatio = 1.25
)

// Forecast is what a keeper knows of how much longer than stated its group's passes
// take. Those who send requests bound them by it.
type Forecast struct {
	// Skew is the load of the most loaded rank over the mean, summed over the sets,
	// by the newest counts under the map in force; 0 is unknown.
	Skew float64
	// Loading tells that ranks load experts, which makes passes longer.
	Loading bool
	// Sequence grows from one forecast of a group to the next; 0 is none.
	Sequence uint64
}

// forecaster makes forecasts. The zero value knows nothing.
type forecaster struct {
	skew float64
	// countedAt is when the newest counts were taken, mapping the map that they were
	// looked at under.
	countedAt time.Time
	mapping   held.Version
}

// observe takes in counts and the map in force, unless both are known.
func (f *forecaster) observe(w *countWindow, p *planner.Placement, paces []float64, mapping held.Version) {
	loads, at, ok := w.newestLoads()
	if !ok || p == nil || at.Equal(f.countedAt) && mapping == f.mapping {
		return
	}
	switched := mapping != f.mapping
	f.countedAt, f.mapping = at, mapping
	skew := p.TimeSkew(loads, paces)
	if switched || w.shifted || skew > skewJumpRatio*f.skew {
		f.skew = skew
	} else {
		f.skew += skewSmoothing * (skew - f.skew)
	}
}

// forecast returns what is known now.
func (f *forecaster) forecast(phase held.Phase) Forecast {
	return Forecast{Skew: f.skew, Loading: phase == held.PhasePreparing}
}
