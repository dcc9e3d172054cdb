package ranks

import (
	"time"

	"graniteknot.org/go/expertmap/held"
)

// callPause is by how much longer the keeper of a larger group pauses.
func (k *Coordinator) callPause() time.Duration {
	if k.subtrees != nil {
		return time.Duration(len(k.subtrees)) * perCallPause
	}
	return time.Duration(len(k.Members)) * perCallPause
}

func (k *Coordinator) countPeriod() time.Duration {
	if k.window.suspect {
		return shiftInterval
	}
	return countInterval
}

func (k *Coordinator) roundInterval(p held.Phase) time.Duration {
	switch p {
	case held.PhaseHolding, held.PhaseArming, held.PhaseReleasing:
		return fastInterval
	case held.PhasePreparing, held.PhaseArmed:
		return slowInterval + k.callPause()
	case held.PhaseIdle:
		if k.window.suspect {
			return shiftInterval
		}
		return planInterval + k.callPause()
	case held.PhaseClosed:
	}
	return incompleteInterval
}

// distributionTime is how long it takes at most to tell all ranks of a large group a map.
const distributionTime = 150 * time.Millisecond

// switching tells whether a map is being told to the ranks, or is about to be in force.
// Sums of counts would hold that up on narrow links.
func (k *Coordinator) switching(now time.Time) bool {
	switch k.phase {
	case held.PhaseHolding, held.PhaseArming, held.PhaseReleasing:
		return true
	case held.PhasePreparing:
		return now.Sub(k.phaseSince) < distributionTime
	case held.PhaseClosed, held.PhaseIdle, held.PhaseArmed:
	}
	return false
}
