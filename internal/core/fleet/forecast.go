package fleet

import "graniteknot.org/go/catalog"

// Forecast is what the keeper of a lock-step group, the rank that plans its
// expert map, predicts for the group's passes.
type Forecast struct {
	// Skew is the load of the most loaded rank divided by the mean; 0 if unknown.
	Skew float64
	// Loading reports whether ranks are loading experts.
	Loading bool
	// Number increases with each forecast of a group; 0 if unknown.
	Number uint64
}

// newer reports whether f replaces another forecast of the same group. All
// sidecars of a group relay its keeper's forecast, some of them an outdated one.
func (f Forecast) newer(other Forecast) bool {
	if f.Number != other.Number {
		return f.Number > other.Number
	}
	return f.Skew > other.Skew
}

// skewFactor returns the ratio of actual to nominal work time at a skew. The
// expert part of the work takes as long as it does on the most loaded rank.
func skewFactor(e *catalog.Engine, skew float64) float64 {
	if e.Experts == nil || skew <= 1 {
		return 1
	}
	return 1 - e.Experts.Fraction + e.Experts.Fraction*skew
}
