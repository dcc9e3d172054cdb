package ranks

import (
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

const (
	// skewSmoothing is the weight of the newest interval in the published skew. A skew more
	// than skewJumpRatio times the published one replaces it at once.
	skewSmoothing = 0.4
	skewJumpRatio = 1.25
)

// Forecast is a coordinator's estimate of how much longer than configured its group's
// passes take. Senders of requests use it to limit their rate.
type Forecast struct {
	// Skew is the load of the most loaded rank over the mean, summed over the expert sets,
	// computed from the newest counts and the map in force; 0 is unknown.
	Skew float64
	// Loading reports that ranks are loading experts, which slows passes down.
	Loading bool
	// Sequence increases with each forecast of a group; 0 is none.
	Sequence uint64
}

// forecaster computes forecasts. The zero value is ready to use.
type forecaster struct {
	skew float64
	// countedAt and mapping are the time of the counts and the version of the map that skew
	// was last updated from.
	countedAt time.Time
	mapping   held.Version
}

// observe updates the skew if the counts or the map in force are new.
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

// forecast returns the current estimate.
func (f *forecaster) forecast(phase held.Phase) Forecast {
	return Forecast{Skew: f.skew, Loading: phase == held.PhasePreparing}
}
