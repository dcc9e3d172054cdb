package ranks

import (
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

const (
	// skewWeight is the weight of an interval in the skew that is told, and jump by
	// how much larger an interval's is to be told at once.
	skewWeight = 0.4
	jump       = 1.25
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
	// counted is when the newest counts were taken, mapping the map that they were
	// looked at under.
	counted time.Time
	mapping held.Version
}

// see takes in counts and the map in force, unless both are known.
func (f *forecaster) see(w *window, p *planner.Placement, paces []float64, mapping held.Version) {
	loads, at, ok := w.newest()
	if !ok || p == nil || at.Equal(f.counted) && mapping == f.mapping {
		return
	}
	switched := mapping != f.mapping
	f.counted, f.mapping = at, mapping
	skew := p.TimeSkew(loads, paces)
	if switched || w.changed || skew > jump*f.skew {
		f.skew = skew
	} else {
		f.skew += skewWeight * (skew - f.skew)
	}
}

// forecast returns what is known now.
func (f *forecaster) forecast(phase held.Phase) Forecast {
	return Forecast{Skew: f.skew, Loading: phase == held.PhasePreparing}
}
