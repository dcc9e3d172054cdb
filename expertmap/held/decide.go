package held

import graniteknot "graniteknot.org/go"

// Phase says how far a switch is.
type Phase uint8

// The phases.
const (
	// PhaseUnavailable groups are not whole, or do not run.
	PhaseUnavailable Phase = iota
	// PhaseIdle groups run one map and have nothing to do.
	PhaseIdle
	// PhasePreparing waits until all ranks have loaded the map.
	PhasePreparing
	// PhaseHolding waits until a step is seen to be held.
	PhaseHolding
	// PhaseArming waits until all ranks are seen to be armed.
	PhaseArming
	// PhaseReleasing lets the held step begin.
	PhaseReleasing
	// PhaseArmed waits until the armed step begins.
	PhaseArmed
	// PhaseUnclear groups have to be read again: the states contradict each other, or
	// orders that were sent may still be carried out.
	PhaseUnclear
)

var phaseWords = [...]string{"closed", "idle", "preparing", "holding", "arming", "releasing", "armed", "unclear"}

// String returns the word used in logs.
func (p Phase) String() string { return phaseWords[p] }

// Decision is what the ranks' states ask for.
type Decision struct {
	Phase  Phase
	Orders []Order
	// ReleasedStep, if it is not NoStep, is a held step that the orders let begin
	// although no rank is armed for it.
	ReleasedStep graniteknot.Step
}

// CoordinatorState is the state that the coordinator wants and what it has asked for so far.
type CoordinatorState struct {
	// NewVersion is the map to switch to; 0 for none.
	NewVersion Version
	// OwnRank is the coordinator's own rank. It is armed last, so that while another one is
	// not armed everybody knows that it is not either.
	OwnRank graniteknot.Rank
	// HoldRank is the rank that holds, and Lead how many steps ahead. It is not the
	// coordinator's own where the group has others: if the coordinator's box stops, another
	// coordinator can still reach what it held.
	HoldRank graniteknot.Rank
	Lead     graniteknot.Step
	// HoldStep is the step that the coordinator asked to hold and has not seen passed;
	// NoStep for none. The same step is asked for until then, since the order may
	// be carried out late.
	HoldStep graniteknot.Step
	// ArmStep is the step that the coordinator has sent the first arm for and has not
	// seen passed; NoStep for none. It does not change until then, so that all
	// ranks are armed for the same step.
	ArmStep graniteknot.Step
	// ReleasedStep is the step that the coordinator has let begin without arming and has not
	// seen begun; NoStep for none. Until then nothing is armed, since the order to
	// go may be carried out late, before all ranks are armed.
	ReleasedStep graniteknot.Step
}

// Decide returns the orders that all ranks' states ask for. The states must have
// been read under the coordinator's fence.
func Decide(states []State, w CoordinatorState) Decision {
	g, whole := sum(states)
	if !whole {
		return Decision{}
	}
	switch {
	case g.contradictory && g.passing:
		return Decision{Phase: PhaseArmed}
	case g.contradictory:
		return Decision{Phase: PhaseUnclear}
	case g.armed != 0:
		return g.rollForward(states, g.armed, g.armedAt, w.OwnRank)
	case w.ReleasedStep > g.step:
		return Decision{Phase: PhaseReleasing, Orders: g.release(states, w.ReleasedStep), ReleasedStep: w.ReleasedStep}
	case g.apart:
		// The ranks were read while the group passed from one map to the next.
		return Decision{Phase: PhaseArmed}
	case g.held != NoStep && g.prepared != 0:
		return g.rollForward(states, g.prepared, g.armAt(states, w), w.OwnRank)
	case w.ArmStep > g.step:
		// An arm may be carried out until that step begins.
		return Decision{Phase: PhaseUnclear}
	case g.held != NoStep:
		return Decision{Phase: PhaseReleasing, Orders: g.release(states, g.lastHeld), ReleasedStep: g.lastHeld}
	case g.prepared != 0 && (w.NewVersion == 0 || g.prepared == w.NewVersion):
		return g.hold(w)
	case w.NewVersion != 0:
		return g.prepare(states, w.NewVersion)
	}
	return Decision{Phase: PhaseIdle}
}

// armAt chooses the held step to arm for. Late orders of former keepers may hold
// other steps too.
func (g *group) armAt(states []State, w CoordinatorState) graniteknot.Step {
	if w.ArmStep > g.step {
		return w.ArmStep
	}
	if w.HoldStep > g.step && holds(states, w.HoldStep) {
		return w.HoldStep
	}
	return g.held
}

func holds(states []State, at graniteknot.Step) bool {
	for _, s := range states {
		if s.Held == at {
			return true
		}
	}
	return false
}

// hold asks the home rank to hold a step that has not begun.
func (g *group) hold(w CoordinatorState) Decision {
	step := w.HoldStep
	if step <= g.step {
		step = g.step + max(w.Lead, 1)
	}
	return Decision{Phase: PhaseHolding, Orders: []Order{{Kind: KindHold, Rank: w.HoldRank, Step: step, Epoch: g.epoch}}}
}

func (g *group) prepare(states []State, v Version) Decision {
	d := Decision{Phase: PhasePreparing}
	for r, s := range states {
		if s.Prepared < v {
			d.Orders = append(d.Orders, Order{Kind: KindPrepare, Rank: graniteknot.Rank(r), Version: v, Epoch: g.epoch})
		}
	}
	return d
}

// rollForward arms all ranks, the coordinator's own last, and then lets the step
// begin.
func (g *group) rollForward(states []State, v Version, at graniteknot.Step, own graniteknot.Rank) Decision {
	d := Decision{Phase: PhaseArming}
	var last []Order
	for r, s := range states {
		if s.Armed == v && s.ArmedAt == at {
			continue
		}
		o := Order{Kind: KindArm, Rank: graniteknot.Rank(r), Version: v, Step: at, Epoch: g.epoch}
		if o.Rank == own {
			last = append(last, o)
			continue
		}
		d.Orders = append(d.Orders, o)
	}
	if len(d.Orders) == 0 {
		d.Orders = last
	}
	if len(d.Orders) > 0 {
		return d
	}
	if g.held == NoStep || g.held > at {
		return Decision{Phase: PhaseArmed}
	}
	return Decision{Phase: PhaseReleasing, Orders: g.release(states, at)}
}

// release lets every rank that holds a step up to the last one go on. A later step may be held
// again for the next switch, which a late order must not release.
func (g *group) release(states []State, last graniteknot.Step) []Order {
	var out []Order
	for r, s := range states {
		if s.Held > g.step && s.Held <= last {
			out = append(out, Order{Kind: KindRelease, Rank: graniteknot.Rank(r), Step: s.Held, Epoch: g.epoch})
		}
	}
	return out
}
