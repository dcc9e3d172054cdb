package ranks

import (
	"log/slog"
	"strconv"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

// updatePlacement determines the map in force; false when it is not known yet and nothing
// can be planned.
func (c *Coordinator) updatePlacement(snapshots []snapshot, states []held.State) bool {
	newest := states[0].Current
	for _, s := range states {
		if s.Epoch != states[0].Epoch || s.Current != newest {
			// The group is forming or switching, which package held resolves.
			return c.placement != nil
		}
	}
	if c.placement != nil && states[0].Epoch == c.epoch && newest == c.mapping {
		return true
	}
	switch {
	case c.placement != nil && states[0].Epoch == c.epoch && newest == c.desired.NewVersion && c.pending != nil:
		c.placement, c.slotsKnown = c.pending, true
		c.Meter.Count("graniteknot_map_switches_total")
	case newest == 0:
		c.placement, c.slotsKnown = planner.NewRoundRobin(c.Planner.Shape), true
	case !c.allListed(snapshots):
		c.placement, c.pending, c.desired.NewVersion = nil, nil, 0
		return false
	default:
		c.placement, c.slotsKnown = c.placementFromLists(snapshots), false
	}
	if states[0].Epoch != c.epoch {
		c.desired.ReleasedStep = held.NoStep
		c.resetCounts()
	}
	c.epoch, c.mapping = states[0].Epoch, newest
	c.pending, c.desired = nil, held.CoordinatorState{ReleasedStep: c.desired.ReleasedStep}
	clear(c.preparedAt)
	return true
}

// resetCounts drops counts and forecasts.
func (c *Coordinator) resetCounts() {
	c.forecaster = forecaster{}
	c.window.reset()
	if c.aggregator != nil {
		c.aggregator.reset()
	}
}

// allListed reports whether every rank has reported its experts, in the shape of the group's maps.
func (c *Coordinator) allListed(snapshots []snapshot) bool {
	for i := range snapshots {
		if len(snapshots[i].lists) == 0 {
			return false
		}
		if !fits(snapshots[i].lists, c.Planner.Shape) {
			c.invalidLists.Warn(c.Log, "rank map left out", strconv.Itoa(i), "another shape than that of the configuration")
			return false
		}
	}
	return true
}

// fits reports whether a rank's experts are those of a map of a shape.
func fits(lists [][]graniteknot.Expert, s planner.Shape) bool {
	if len(lists) != s.Layers {
		return false
	}
	for _, experts := range lists {
		if len(experts) > s.Slots {
			return false
		}
		for _, e := range experts {
			if e < 0 || int(e) >= s.Experts {
				return false
			}
		}
	}
	return true
}

// placementFromLists builds the map in force from the experts that ranks reported.
func (c *Coordinator) placementFromLists(snapshots []snapshot) *planner.Placement {
	p := planner.NewRoundRobin(c.Planner.Shape)
	for r := range snapshots {
		for l, experts := range snapshots[r].lists {
			p.SetExperts(graniteknot.Layer(l), graniteknot.Rank(r), experts)
		}
	}
	return p
}

// addCounts adds the ranks' expert counts to the window.
func (c *Coordinator) addCounts(snapshots []snapshot, now time.Time) {
	c.countedAt = now
	counts := make([][]uint64, len(snapshots))
	for r := range snapshots {
		counts[r] = snapshots[r].counts
	}
	c.window.add(now, counts)
}

// recentLoads returns the load of each expert within the window.
func (c *Coordinator) recentLoads() (planner.Loads, bool) {
	if c.aggregator != nil {
		return c.aggregator.loads()
	}
	return c.window.loads()
}

// steadyLoads returns the load of each expert since the last load shift and the time that the
// counts cover.
func (c *Coordinator) steadyLoads() (planner.Loads, time.Duration, bool) {
	if c.aggregator != nil {
		return c.aggregator.steadyLoads()
	}
	return c.window.steadyLoads()
}

// publishForecast updates the forecast and passes it to OnForecast.
func (c *Coordinator) publishForecast() {
	if c.aggregator != nil {
		c.aggregator.updateForecast(&c.forecaster, c.placement, c.paces, c.mapping)
	} else {
		c.forecaster.observe(&c.window, c.placement, c.paces, c.mapping)
	}
	if c.OnForecast != nil {
		c.OnForecast(c.currentForecast())
	}
}

// currentForecast returns the forecast with its sequence.
func (c *Coordinator) currentForecast() Forecast {
	f := c.forecaster.forecast(c.phase)
	f.Sequence = uint64(c.Fence)<<roundBits | c.rounds
	return f
}

// loadShift reports whether the newest counts suggest a load shift, in which case plans
// wait for the next ones, and how many shifts were detected.
func (c *Coordinator) loadShift() (suspect bool, shifts int) {
	if c.aggregator != nil {
		return c.aggregator.loadShift()
	}
	return c.window.suspect, c.window.shifts
}

// canReplacePending reports whether the load shift allows a newer map to replace the one
// being prepared. No hold has been requested yet, so no rank can be armed for it, now or later. A map
// that replaced another stays, or ranks would load forever.
func (c *Coordinator) canReplacePending() bool {
	return c.planOutdated && !c.replacedPending && c.phase == held.PhasePreparing && c.desired.HoldStep == held.NoStep
}

// expertLoadTime returns how long a rank takes to load one expert; 0 is unknown.
func expertLoadTime(e *catalog.Experts) time.Duration {
	if e.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(e.Size) / e.Bandwidth * float64(time.Second))
}

// loadBudget returns how much one switch may load: for each rank, as many experts as load
// within switchLoadTime, and at least one. Where a pass takes longer than that, loading for
// one pass costs no more.
func (c *Coordinator) loadBudget() planner.LoadLimits {
	e := c.Engine.Experts
	perRank := 1
	if e.Bandwidth > 0 && e.Size > 0 {
		loadTime := min(max(switchLoadTime, c.timing.passTime), maxSwitchLoadTime)
		perRank = max(1, int(loadTime.Seconds()*e.Bandwidth/float64(e.Size)))
	}
	return planner.LoadLimits{PerLayer: e.Spare, PerRank: perRank}
}

// plan chooses the next map if one is worth a switch and none is in progress.
func (c *Coordinator) plan() {
	suspect, shifts := c.loadShift()
	c.planOutdated = c.planOutdated || shifts != c.shifts
	c.shifts = shifts
	if suspect || c.placement == nil || c.desired.NewVersion != 0 && !c.canReplacePending() {
		return
	}
	basis, ok := c.basis()
	if !ok {
		return
	}
	c.Planner.Observe(basis.loads)
	c.Planner.TargetSkew = c.targetSkew(basis.span)
	if !c.thresholdFixed {
		c.Planner.MinSwitchGain = basis.switchGain * minSwitchGain * float64(c.Engine.Experts.Sets)
		c.Planner.MinMoveGain = threshold(c.timing.passTime, c.MaxEventGap) * relativeCost(c.Engine.Experts, len(c.Members))
	}
	c.Planner.Slowdowns = c.paces
	next := c.Planner.PlanSwitch(c.placement, c.loadBudget())
	if next.Moves+next.Drops == 0 {
		return
	}
	c.replacedPending = c.desired.NewVersion != 0
	c.pending, c.desired.NewVersion, c.planOutdated = next.Placement, c.version(), false
	clear(c.preparedAt)
	c.Meter.Add("graniteknot_experts_loaded_total", next.Moves)
	c.Log.Info("map planned", slog.Int64("map", int64(c.desired.NewVersion)), slog.Int("moves", next.Moves), slog.Int("drops", next.Drops),
		slog.Float64("skew_before", next.SkewBefore), slog.Float64("skew_after", next.SkewAfter), slog.Int64("epoch", int64(c.epoch)))
}
