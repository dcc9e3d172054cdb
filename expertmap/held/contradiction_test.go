package held_test

import (
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
)

const (
	oldMap, newMap = held.Version(1), held.Version(2)
	lastStep       = graniteknot.Step(20)
	heldStep       = graniteknot.Step(24)
)

// switching returns three ranks that have prepared newMap and of which the first holds heldStep.
func switching() []held.State {
	states := make([]held.State, 3)
	for r := range states {
		states[r] = held.State{Epoch: 1, GroupRunning: true, Step: lastStep, Current: oldMap, Prepared: newMap, HasRequests: true}
	}
	states[0].Held = heldStep
	return states
}

// arm arms the ranks for newMap.
func arm(states []held.State, at graniteknot.Step, ranks ...int) {
	for _, r := range ranks {
		states[r].Armed, states[r].ArmedAt = newMap, at
	}
}

// TestContradictoryStatesReleaseNothing guards against a release that rests on the state of a rank
// from before the last switch.
func TestContradictoryStatesReleaseNothing(t *testing.T) {
	cases := map[string]struct {
		change func(states []held.State)
		phase  held.Phase
	}{
		"armed for a step that has begun": {func(states []held.State) {
			arm(states, heldStep, 0, 1)
			states[2].Armed, states[2].ArmedAt = oldMap, lastStep-5
		}, held.PhaseUnclear},
		"armed for the map in force": {func(states []held.State) {
			arm(states, heldStep, 0, 1)
			states[2].Armed, states[2].ArmedAt = oldMap, heldStep
		}, held.PhaseUnclear},
		"armed for two steps": {func(states []held.State) {
			arm(states, heldStep, 0, 1)
			arm(states, heldStep+1, 2)
		}, held.PhaseUnclear},
		"read before and after a step that brings a map into force": {func(states []held.State) {
			for r := range states {
				states[r].Prepared = oldMap
				states[r].Armed, states[r].ArmedAt = oldMap, lastStep-5
			}
			states[0].Armed, states[0].ArmedAt = 0, 0
			states[1].Current, states[2].Current = 0, 0
			states[1].Step, states[2].Step = lastStep-7, lastStep-7
		}, held.PhaseArmed},
	}
	for name, c := range cases {
		states := switching()
		c.change(states)
		d := held.Decide(states, held.CoordinatorState{NewVersion: newMap, OwnRank: 0, HoldRank: 1, Lead: 4, HoldStep: heldStep, ArmStep: heldStep})
		if d.Phase != c.phase || len(d.Orders) > 0 {
			t.Errorf("%s: %v with %d orders, want %v with none", name, d.Phase, len(d.Orders), c.phase)
		}
		if w := held.DecideWithMissingRank(states, 0, held.CoordinatorState{}); len(w.Orders) > 0 {
			t.Errorf("%s, without rank 0: %v with %d orders, want none", name, w.Phase, len(w.Orders))
		}
	}
}

// TestHeldStepWaitsForArmsOnTheWay guards against the release of a step that some ranks may yet be armed for.
func TestHeldStepWaitsForArmsOnTheWay(t *testing.T) {
	states := switching()
	states[2].Prepared = oldMap
	if d := held.Decide(states, held.CoordinatorState{NewVersion: newMap, HoldStep: heldStep, ArmStep: heldStep}); len(d.Orders) > 0 {
		t.Errorf("%v with %d orders, want none", d.Phase, len(d.Orders))
	}
	if d := held.Decide(states, held.CoordinatorState{NewVersion: newMap, HoldStep: heldStep}); d.Phase != held.PhaseReleasing || d.ReleasedStep != heldStep {
		t.Errorf("%v releases step %d, want %d", d.Phase, d.ReleasedStep, heldStep)
	}
}

// TestLaterHoldIsNotReleasedBySwitch guards against a late release of a step that is held again for the next switch.
func TestLaterHoldIsNotReleasedBySwitch(t *testing.T) {
	states := switching()
	arm(states, heldStep, 0, 1, 2)
	states[1].Held = heldStep + 3
	d := held.Decide(states, held.CoordinatorState{NewVersion: newMap, HoldStep: heldStep, ArmStep: heldStep})
	if len(d.Orders) != 1 || d.Orders[0].Kind != held.KindRelease || d.Orders[0].Step != heldStep {
		t.Errorf("%v with orders %v, want a release of step %d alone", d.Phase, d.Orders, heldStep)
	}
}
