package ranks

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
)

// While orders come late, switches take long, each another time, and a group that
// waits for one makes all of its streams late by a pause. longestSwitchDecay is what is kept, from
// switch to switch, of the longest time that one has taken, and leadMargin by how much longer
// than that the next one may take.
const (
	longestSwitchDecay = 0.92
	leadMargin         = 1.5
)

// switchTiming knows how long passes and switches take, and so how far ahead a step has
// to be held for the group not to stand. The zero value knows nothing.
type switchTiming struct {
	step   graniteknot.Step
	seenAt time.Time
	// passTime is a moving mean of a passTime's time.
	passTime time.Duration
	// switchStarted is when the present switch asked for a hold; zero between switches.
	switchStarted time.Time
	// longestSwitch is how long switches take from there to the release, at most.
	longestSwitch time.Duration
}

// observe takes in the last pass that was begun.
func (p *switchTiming) observe(step graniteknot.Step, now time.Time) {
	const weight = 4
	if passes := time.Duration(step - p.step); step > p.step && !p.seenAt.IsZero() {
		p.passTime += (now.Sub(p.seenAt)/passes - p.passTime) / weight
	}
	if step != p.step {
		p.step, p.seenAt = step, now
	}
}

// enterPhase takes in the phase that a switch has reached.
func (p *switchTiming) enterPhase(phase held.Phase, now time.Time) {
	switch phase {
	case held.PhaseHolding:
		p.switchStarted = now
	case held.PhaseArmed, held.PhaseIdle:
		if !p.switchStarted.IsZero() {
			p.longestSwitch = max(now.Sub(p.switchStarted), time.Duration(longestSwitchDecay*float64(p.longestSwitch)))
			p.switchStarted = time.Time{}
		}
	case held.PhaseClosed:
		p.switchStarted = time.Time{}
	case held.PhasePreparing, held.PhaseArming, held.PhaseReleasing:
	}
}

// lead is how many passes ahead a step is to be held.
func (p *switchTiming) lead() graniteknot.Step {
	if p.passTime <= 0 {
		return minLead
	}
	passes := graniteknot.Step(leadMargin * float64(p.longestSwitch) / float64(p.passTime))
	return min(max(passes+1, minLead), maxLead)
}
