package ranks

import (
	"time"

	"graniteknot.org/go/expertmap/held"
)

// callPause returns the part of the interval that grows with the number of calls per round.
func (c *Coordinator) callPause() time.Duration {
	if c.subtrees != nil {
		return time.Duration(len(c.subtrees)) * perCallPause
	}
	return time.Duration(len(c.Members)) * perCallPause
}

func (c *Coordinator) countPeriod() time.Duration {
	if c.window.suspect {
		return shiftInterval
	}
	return countInterval
}

func (c *Coordinator) roundInterval(p held.Phase) time.Duration {
	switch p {
	case held.PhaseHolding, held.PhaseArming, held.PhaseReleasing, held.PhaseUnclear:
		return fastInterval
	case held.PhasePreparing, held.PhaseArmed:
		return slowInterval + c.callPause()
	case held.PhaseIdle:
		if c.window.suspect {
			return shiftInterval
		}
		return planInterval + c.callPause()
	case held.PhaseUnavailable:
	}
	return incompleteInterval
}

// distributionTime bounds how long it takes to send a map to all ranks of a large group.
const distributionTime = 150 * time.Millisecond

// switching reports whether a map is being sent to the ranks or is about to come into
// force. Reading counts would delay that on narrow links.
func (c *Coordinator) switching(now time.Time) bool {
	switch c.phase {
	case held.PhaseHolding, held.PhaseArming, held.PhaseReleasing, held.PhaseUnclear:
		return true
	case held.PhasePreparing:
		return now.Sub(c.phaseSince) < distributionTime
	case held.PhaseUnavailable, held.PhaseIdle, held.PhaseArmed:
	}
	return false
}
