package ranks

import (
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

// updatePlacement takes in which map is in force; false when that can't be told yet, and
// nothing can be planned.
func (k *Coordinator) updatePlacement(looks []snapshot, states []held.State) bool {
	newest := states[0].Mapping
	for _, s := range states {
		if s.Epoch != states[0].Epoch || s.Mapping != newest {
			// The group is forming, or passing from one map to the next; package
			// held knows what that means.
			return k.placement != nil
		}
	}
	if k.placement != nil && states[0].Epoch == k.epoch && newest == k.mapping {
		return true
	}
	switch {
	case k.placement != nil && states[0].Epoch == k.epoch && newest == k.desired.Version && k.pending != nil:
		k.placement = k.pending
		k.Meter.Count("graniteknot_map_switches_total")
	case newest == 0:
		k.placement = planner.NewDealt(k.Planner.Shape)
	case !allListed(looks):
		k.placement, k.pending, k.desired.Version = nil, nil, 0
		return false
	default:
		k.placement = k.placementFromLists(looks)
	}
	if states[0].Epoch != k.epoch {
		k.desired.Freed = held.Never
		k.resetCounts()
	}
	k.epoch, k.mapping = states[0].Epoch, newest
	k.pending, k.desired = nil, held.Wish{Freed: k.desired.Freed}
	clear(k.preparedAt)
	return true
}

// resetCounts drops what was counted and foretold.
func (k *Coordinator) resetCounts() {
	k.forecaster = forecaster{}
	k.window.reset()
	if k.aggregator != nil {
		k.aggregator.reset()
	}
}

// allListed tells whether every rank told what it holds.
func allListed(looks []snapshot) bool {
	for i := range looks {
		if len(looks[i].lists) == 0 {
			return false
		}
	}
	return true
}

// placementFromLists puts the map in force together from what the ranks hold.
func (k *Coordinator) placementFromLists(looks []snapshot) *planner.Placement {
	p := planner.NewDealt(k.Planner.Shape)
	for r := range looks {
		for l, experts := range looks[r].lists {
			p.Set(graniteknot.Layer(l), graniteknot.Rank(r), experts)
		}
	}
	return p
}

// addCounts takes in how often experts were chosen.
func (k *Coordinator) addCounts(looks []snapshot, now time.Time) {
	k.countedAt = now
	counts := make([][]uint64, len(looks))
	for r := range looks {
		counts[r] = looks[r].counts
	}
	k.window.add(now, counts)
}

// recentLoads returns how often experts were chosen of late.
func (k *Coordinator) recentLoads() (planner.Loads, bool) {
	if k.aggregator != nil {
		return k.aggregator.recentLoads()
	}
	return k.window.loads()
}

// publishForecast tells what is known of the length of passes.
func (k *Coordinator) publishForecast() {
	if k.aggregator != nil {
		k.aggregator.updateForecast(&k.forecaster, k.placement, k.paces, k.mapping)
	} else {
		k.forecaster.observe(&k.window, k.placement, k.paces, k.mapping)
	}
	if k.OnForecast != nil {
		k.OnForecast(k.currentForecast())
	}
}

// currentForecast is the present forecast.
func (k *Coordinator) currentForecast() Forecast {
	f := k.forecaster.forecast(k.phase)
	f.Sequence = uint64(k.Fence)<<roundBits | k.rounds
	return f
}

// loadShift tells that the newest counts differ from those before, so that the next
// ones are waited for, and how often what is chosen has loadShift.
func (k *Coordinator) loadShift() (suspect bool, changes int) {
	if k.aggregator != nil {
		return k.aggregator.loadShift()
	}
	return k.window.suspect, k.window.shifts
}

// canReplacePending tells whether a map that is being prepared may give way to a newer
// one, since what it was planned for has changed. No hold was asked for yet, so
// nothing can be armed for it. One that took another's place stays, or ranks would
// load for ever.
func (k *Coordinator) canReplacePending() bool {
	return k.planOutdated && !k.replacedPending && k.phase == held.PhasePreparing
}

// expertLoadTime is how long a rank takes to load one expert; 0 is unknown.
func expertLoadTime(e *catalog.Experts) time.Duration {
	if e.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(e.Size) / e.Bandwidth * float64(time.Second))
}

// loadBudget is what one switch may load: as many experts a rank as take loadTime, one
// at the least. Where passes take longer than that, loading as long as one pass
// costs no more.
func (k *Coordinator) loadBudget() planner.Room {
	e := k.Engine.Experts
	perRank := 1
	if e.Bandwidth > 0 && e.Size > 0 {
		long := min(max(switchLoadTime, k.timing.passTime), maxSwitchLoadTime)
		perRank = max(1, int(long.Seconds()*e.Bandwidth/float64(e.Size)))
	}
	return planner.Room{PerLayer: e.Spare, PerRank: perRank}
}

// plan chooses the next map, if one is worth it and none is under way.
func (k *Coordinator) plan() {
	suspect, changes := k.loadShift()
	k.planOutdated = k.planOutdated || changes != k.shifts
	k.shifts = changes
	if suspect || k.placement == nil || k.desired.Version != 0 && !k.canReplacePending() {
		return
	}
	loads, ok := k.recentLoads()
	if !ok {
		return
	}
	k.Planner.Observe(loads)
	if !k.thresholdFixed {
		k.Planner.SwitchGain = minSwitchGain * float64(k.Engine.Experts.Sets)
		k.Planner.Threshold = threshold(k.timing.passTime, k.MaxEventGap) * relativeCost(k.Engine.Experts, len(k.Members))
	}
	k.Planner.Paces = k.paces
	next := k.Planner.PlanNext(k.placement, k.loadBudget())
	if next.Moves+next.Drops == 0 {
		return
	}
	k.replacedPending = k.desired.Version != 0
	k.pending, k.desired.Version, k.planOutdated = next.Placement, k.version(), false
	clear(k.preparedAt)
	k.Meter.Add("graniteknot_experts_loaded_total", next.Moves)
	k.Log.Info("map planned", slog.Int64("map", int64(k.desired.Version)), slog.Int("moves", next.Moves), slog.Int("drops", next.Drops),
		slog.Float64("skew_before", next.Before), slog.Float64("skew_after", next.After), slog.Int64("epoch", int64(k.epoch)))
}
