package ranks

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
)

// Late orders make the duration of switches vary, and a group that stalls for one pauses
// all of its streams. longestSwitchDecay is the fraction of the longest duration kept from
// switch to switch, leadMargin the factor by which the next switch may exceed it.
const (
	longestSwitchDecay = 0.92
	leadMargin         = 1.5
)

// switchTiming measures passes and switches to choose how far ahead a step has to be held
// for the group not to stall. The zero value is ready to use.
type switchTiming struct {
	step   graniteknot.Step
	seenAt time.Time
	// passTime is the moving average of a pass's duration, and skew that of the load's skew
	// meanwhile; 0 before the first.
	passTime time.Duration
	skew     float64
	// switchStarted is when the current switch requested a hold; zero between switches.
	switchStarted time.Time
	// longestSwitch is the decaying maximum of the time from there to the release.
	longestSwitch time.Duration
}

// observe records the latest pass begun, and the skew of the load; 0 is unknown.
func (t *switchTiming) observe(step graniteknot.Step, skew float64, now time.Time) {
	const weight = 4
	if passes := time.Duration(step - t.step); step > t.step && !t.seenAt.IsZero() {
		pass := now.Sub(t.seenAt) / passes
		if t.passTime == 0 {
			t.passTime = pass
		}
		if t.skew == 0 {
			t.skew = skew
		}
		t.passTime += (pass - t.passTime) / weight
		if skew > 0 {
			t.skew += (skew - t.skew) / weight
		}
	}
	if step != t.step {
		t.step, t.seenAt = step, now
	}
}

// enterPhase records the phase that a switch has reached.
func (t *switchTiming) enterPhase(phase held.Phase, now time.Time) {
	switch phase {
	case held.PhaseHolding:
		t.switchStarted = now
	case held.PhaseArmed, held.PhaseIdle:
		if !t.switchStarted.IsZero() {
			t.longestSwitch = max(now.Sub(t.switchStarted), time.Duration(longestSwitchDecay*float64(t.longestSwitch)))
			t.switchStarted = time.Time{}
		}
	case held.PhaseUnavailable:
		t.switchStarted = time.Time{}
	case held.PhasePreparing, held.PhaseArming, held.PhaseReleasing, held.PhaseUnclear:
	}
}

// lead returns how many passes ahead a step is to be held.
func (t *switchTiming) lead() graniteknot.Step {
	if t.passTime <= 0 {
		return minLead
	}
	passes := graniteknot.Step(leadMargin * float64(t.longestSwitch) / float64(t.passTime))
	return min(max(passes+1, minLead), maxLead)
}
