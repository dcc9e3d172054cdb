package held

import graniteknot "graniteknot.org/go"

// group sums up all ranks' states.
type group struct {
	epoch Epoch
	// step is the latest pass that any rank showed.
	step graniteknot.Step
	// mapping is the newest map in force; apart tells that not all ranks showed
	// it.
	mapping Version
	apart   bool
	// prepared is the map that all ranks have loaded; 0 when they differ or it
	// is no newer than the one in force.
	prepared Version
	// armed is the map that ranks are armed for, as armedAt begins; 0 for none.
	armed   Version
	armedAt graniteknot.Step
	// contradictory tells that the states can't all be of one moment: a rank is armed for a
	// step that another one has begun, or two are armed for different maps or steps.
	contradictory bool
	// passing tells that all armed ranks are armed for the newest map in force: they were read
	// before its step, others after.
	passing bool
	// held is the first step that any rank holds; NoStep for none.
	held graniteknot.Step
	// lastHeld is the last such step.
	lastHeld graniteknot.Step
}

// sum returns false when the group is not whole or does not run.
func sum(states []State) (*group, bool) {
	if len(states) == 0 {
		return nil, false
	}
	g := &group{epoch: states[0].Epoch, mapping: states[0].Current, prepared: states[0].Prepared}
	for _, s := range states {
		if !s.GroupRunning || s.Epoch != g.epoch {
			return nil, false
		}
		g.step = max(g.step, s.Step)
		g.apart = g.apart || s.Current != states[0].Current
		g.mapping = max(g.mapping, s.Current)
		if s.Prepared != g.prepared {
			g.prepared = 0
		}
	}
	if g.prepared <= g.mapping {
		g.prepared = 0
	}
	g.sumArmed(states)
	g.sumHeld(states)
	return g, true
}

// sumArmed finds the map that ranks are armed for. The latest step must be known.
func (g *group) sumArmed(states []State) {
	g.passing = true
	for _, s := range states {
		if s.Armed == 0 {
			continue
		}
		g.passing = g.passing && s.Armed == g.mapping
		if g.armed != 0 && (s.Armed != g.armed || s.ArmedAt != g.armedAt) || s.ArmedAt <= g.step || s.Armed <= g.mapping {
			g.contradictory = true
		}
		g.armed, g.armedAt = s.Armed, s.ArmedAt
	}
}

// sumHeld finds the held steps. One that has begun was released since that rank was read.
func (g *group) sumHeld(states []State) {
	for _, s := range states {
		if s.Held <= g.step {
			continue
		}
		g.lastHeld = max(g.lastHeld, s.Held)
		if g.held == NoStep || s.Held < g.held {
			g.held = s.Held
		}
	}
}
