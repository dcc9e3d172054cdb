package ranks

import (
	"time"

	"graniteknot.org/go/expertmap/held"
)

// forRanks is by how much longer the keeper of a larger group pauses.
func (k *Coordinator) forRanks() time.Duration {
	if k.parts != nil {
		return time.Duration(len(k.parts)) * rankTime
	}
	return time.Duration(len(k.Members)) * rankTime
}

func (k *Coordinator) countPeriod() time.Duration {
	if k.window.suspect {
		return changedRound
	}
	return countRound
}

func (k *Coordinator) pause(p held.Phase) time.Duration {
	switch p {
	case held.PhaseHolding, held.PhaseArming, held.PhaseReleasing:
		return fastRound
	case held.PhasePreparing, held.PhaseArmed:
		return slowRound + k.forRanks()
	case held.PhaseIdle:
		if k.window.suspect {
			return changedRound
		}
		return planRound + k.forRanks()
	case held.PhaseClosed:
	}
	return idleRound
}

// givingTime is how long it takes at most to tell all ranks of a large group a map.
const givingTime = 150 * time.Millisecond

// switching tells whether a map is being told to the ranks, or is about to be in force.
// Sums of counts would hold that up on narrow links.
func (k *Coordinator) switching(now time.Time) bool {
	switch k.phase {
	case held.PhaseHolding, held.PhaseArming, held.PhaseReleasing:
		return true
	case held.PhasePreparing:
		return now.Sub(k.since) < givingTime
	case held.PhaseClosed, held.PhaseIdle, held.PhaseArmed:
	}
	return false
}
