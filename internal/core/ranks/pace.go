package ranks

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
)

// While orders come late, switches take long, each another time, and a group that
// waits for one makes all of its streams late by a pause. paceDecay is what is kept, from
// switch to switch, of the longest time that one has taken, and margin by how much longer
// than that the next one may take.
const (
	paceDecay = 0.92
	margin    = 1.5
)

// pace knows how long passes and switches take, and so how far ahead a step has
// to be held for the group not to stand. The zero value knows nothing.
type pace struct {
	step graniteknot.Step
	seen time.Time
	// pass is a moving mean of a pass's time.
	pass time.Duration
	// begun is when the present switch asked for a hold; zero between switches.
	begun time.Time
	// longest is how long switches take from there to the release, at most.
	longest time.Duration
}

// see takes in the last pass that was begun.
func (p *pace) see(step graniteknot.Step, now time.Time) {
	const weight = 4
	if passes := time.Duration(step - p.step); step > p.step && !p.seen.IsZero() {
		p.pass += (now.Sub(p.seen)/passes - p.pass) / weight
	}
	if step != p.step {
		p.step, p.seen = step, now
	}
}

// enter takes in the phase that a switch has reached.
func (p *pace) enter(phase held.Phase, now time.Time) {
	switch phase {
	case held.PhaseHolding:
		p.begun = now
	case held.PhaseArmed, held.PhaseIdle:
		if !p.begun.IsZero() {
			p.longest = max(now.Sub(p.begun), time.Duration(paceDecay*float64(p.longest)))
			p.begun = time.Time{}
		}
	case held.PhaseClosed:
		p.begun = time.Time{}
	case held.PhasePreparing, held.PhaseArming, held.PhaseReleasing:
	}
}

// lead is how many passes ahead a step is to be held.
func (p *pace) lead() graniteknot.Step {
	if p.pass <= 0 {
		return leastLead
	}
	passes := graniteknot.Step(margin * float64(p.longest) / float64(p.pass))
	return min(max(passes+1, leastLead), mostLead)
}
