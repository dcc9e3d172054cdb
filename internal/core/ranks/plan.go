package ranks

import (
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

// learn takes in which map is in force; false when that can't be told yet, and
// nothing can be planned.
func (k *Coordinator) learn(looks []seen, states []held.State) bool {
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
	case k.placement != nil && states[0].Epoch == k.epoch && newest == k.wish.Version && k.offered != nil:
		k.placement = k.offered
		k.Meter.Count("graniteknot_map_switches_total")
	case newest == 0:
		k.placement = planner.NewDealt(k.Planner.Shape)
	case !listed(looks):
		k.placement, k.offered, k.wish.Version = nil, nil, 0
		return false
	default:
		k.placement = k.read(looks)
	}
	if states[0].Epoch != k.epoch {
		k.wish.Freed = held.Never
		k.forget()
	}
	k.epoch, k.mapping = states[0].Epoch, newest
	k.offered, k.wish = nil, held.Wish{Freed: k.wish.Freed}
	clear(k.prepared)
	return true
}

// forget drops what was counted and foretold.
func (k *Coordinator) forget() {
	k.forecaster = forecaster{}
	k.window.forget()
	if k.tally != nil {
		k.tally.forget()
	}
}

// listed tells whether every rank told what it holds.
func listed(looks []seen) bool {
	for i := range looks {
		if len(looks[i].lists) == 0 {
			return false
		}
	}
	return true
}

// read puts the map in force together from what the ranks hold.
func (k *Coordinator) read(looks []seen) *planner.Placement {
	p := planner.NewDealt(k.Planner.Shape)
	for r := range looks {
		for l, experts := range looks[r].lists {
			p.Set(graniteknot.Layer(l), graniteknot.Rank(r), experts)
		}
	}
	return p
}

// observe takes in how often experts were chosen.
func (k *Coordinator) observe(looks []seen, now time.Time) {
	k.counted = now
	counts := make([][]uint64, len(looks))
	for r := range looks {
		counts[r] = looks[r].counts
	}
	k.window.add(now, counts)
}

// loads returns how often experts were chosen of late.
func (k *Coordinator) loads() (planner.Loads, bool) {
	if k.tally != nil {
		return k.tally.loads()
	}
	return k.window.loads()
}

// tell tells what is known of the length of passes.
func (k *Coordinator) tell() {
	if k.tally != nil {
		k.tally.forecast(&k.forecaster, k.placement, k.paces, k.mapping)
	} else {
		k.forecaster.see(&k.window, k.placement, k.paces, k.mapping)
	}
	if k.OnForecast != nil {
		k.OnForecast(k.foretold())
	}
}

// foretold is the present forecast.
func (k *Coordinator) foretold() Forecast {
	f := k.forecaster.forecast(k.phase)
	f.Sequence = uint64(k.Fence)<<roundBits | k.rounds
	return f
}

// changed tells that the newest counts differ from those before, so that the next
// ones are waited for, and how often what is chosen has changed.
func (k *Coordinator) changed() (suspect bool, changes int) {
	if k.tally != nil {
		return k.tally.changed()
	}
	return k.window.suspect, k.window.changes
}

// mayReplace tells whether a map that is being prepared may give way to a newer
// one, since what it was planned for has changed. No hold was asked for yet, so
// nothing can be armed for it. One that took another's place stays, or ranks would
// load for ever.
func (k *Coordinator) mayReplace() bool {
	return k.misled && !k.replaced && k.phase == held.PhasePreparing
}

// loadOne is how long a rank takes to load one expert; 0 is unknown.
func loadOne(e *catalog.Experts) time.Duration {
	if e.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(float64(e.Size) / e.Bandwidth * float64(time.Second))
}

// room is what one switch may load: as many experts a rank as take loadTime, one
// at the least. Where passes take longer than that, loading as long as one pass
// costs no more.
func (k *Coordinator) room() planner.Room {
	e := k.Engine.Experts
	perRank := 1
	if e.Bandwidth > 0 && e.Size > 0 {
		long := min(max(loadTime, k.pace.pass), longestLoad)
		perRank = max(1, int(long.Seconds()*e.Bandwidth/float64(e.Size)))
	}
	return planner.Room{PerLayer: e.Spare, PerRank: perRank}
}

// plan chooses the next map, if one is worth it and none is under way.
func (k *Coordinator) plan() {
	suspect, changes := k.changed()
	k.misled = k.misled || changes != k.changes
	k.changes = changes
	if suspect || k.placement == nil || k.wish.Version != 0 && !k.mayReplace() {
		return
	}
	loads, ok := k.loads()
	if !ok {
		return
	}
	k.Planner.Observe(loads)
	if !k.fixed {
		k.Planner.SwitchGain = switchGain * float64(k.Engine.Experts.Sets)
		k.Planner.Threshold = threshold(k.pace.pass, k.MaxEventGap) * relativeCost(k.Engine.Experts, len(k.Members))
	}
	k.Planner.Paces = k.paces
	next := k.Planner.PlanNext(k.placement, k.room())
	if next.Moves+next.Drops == 0 {
		return
	}
	k.replaced = k.wish.Version != 0
	k.offered, k.wish.Version, k.misled = next.Placement, k.version(), false
	clear(k.prepared)
	k.Meter.Add("graniteknot_experts_loaded_total", next.Moves)
	k.Log.Info("map planned", slog.Int64("map", int64(k.wish.Version)), slog.Int("moves", next.Moves), slog.Int("drops", next.Drops),
		slog.Float64("skew_before", next.Before), slog.Float64("skew_after", next.After), slog.Int64("epoch", int64(k.epoch)))
}
