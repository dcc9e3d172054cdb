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
	armed    Version
	armedAt  graniteknot.Step
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
		if s.Armed != 0 {
			g.armed, g.armedAt = s.Armed, s.ArmedAt
		}
		g.lastHeld = max(g.lastHeld, s.Held)
		if s.Held != NoStep && (g.held == NoStep || s.Held < g.held) {
			g.held = s.Held
		}
	}
	if g.prepared <= g.mapping {
		g.prepared = 0
	}
	return g, true
}
