package route

import "time"

const (
	// samples is how many random targets Weighted looks at.
	samples = 4
	// zonePenalty is what another availability zone costs: two one-way trips
	// of a millisecond and a half.
	zonePenalty = 3 * time.Millisecond
	// newPenalty is what a target costs at the begin of its slow start.
	newPenalty = 50 * time.Millisecond
)

// LeastLatency chooses the target with the smallest expected time to the first
// token among a few random ones and those that may hold the prompt's prefix:
// the wait, the prefill that no cache saves, and the distance. Few random
// ones, and not all, so that entries that know the same do not all choose the
// same target.
type LeastLatency struct{}

// Choose implements Policy.
func (LeastLatency) Choose(v *View, q *Query) *Target {
	best := v.Targets[v.Rand.IntN(len(v.Targets))]
	bestScore := score(best, v, q, 0)
	for range samples - 1 {
		t := v.Targets[v.Rand.IntN(len(v.Targets))]
		if s := score(t, v, q, 0); s < bestScore {
			best, bestScore = t, s
		}
	}
	for _, t := range v.PrefixHolders {
		if s := score(t, v, q, v.CachedFraction); s < bestScore {
			best, bestScore = t, s
		}
	}
	return best
}

// score is the expected time to the first token.
func score(t *Target, v *View, q *Query, hit float64) time.Duration {
	s := t.expectedWait(t.busyness(q.Now, v.MeanOthersInFlight)) + time.Duration(float64(q.PrefillTime)*(1-hit))
	if t.Zone != "" && t.Zone != q.Zone {
		s += zonePenalty
	}
	if age := q.Now.Sub(t.since); age < slowStart {
		s += time.Duration(float64(newPenalty) * (1 - float64(age)/float64(slowStart)))
	}
	return s
}
