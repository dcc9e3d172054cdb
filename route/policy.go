package route

import (
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
)

// Query is what a choice is made for.
type Query struct {
	// Prefixes are hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// PrefillTime is how long the whole prompt takes to read without a cache.
	PrefillTime time.Duration
	// Zone is the entry's own.
	Zone graniteknot.AvailabilityZone
	// Tried are not chosen again while others are left.
	Tried []graniteknot.Address
	Now   time.Time
}

// View is what a Policy sees: the usable targets of one service.
type View struct {
	// Targets are usable and not empty.
	Targets []*Target
	// MeanOthersInFlight is the mean of the targets' Others.
	MeanOthersInFlight float64
	// PrefixHolders are the targets that may hold the longest known prefix.
	PrefixHolders []*Target
	// CachedFraction is the share of the prompt that Holders may hold, from 0 to 1.
	CachedFraction float64
	Rand           *rand.Rand
}

// Policy chooses a target. Implementations keep no state of their own that
// two tables could share, unless they say so.
type Policy interface {
	Choose(v *View, q *Query) *Target
}

// Random chooses any target.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(v *View, _ *Query) *Target { return v.Targets[v.Rand.IntN(len(v.Targets))] }

// RoundRobin goes around. It keeps a position, so each table needs its own.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(v *View, _ *Query) *Target {
	r.next++
	return v.Targets[r.next%len(v.Targets)]
}

// LeastLoad chooses the smallest reported load, as it stands.
type LeastLoad struct{}

// Choose implements Policy.
func (LeastLoad) Choose(v *View, _ *Query) *Target {
	best := v.Targets[0]
	for _, t := range v.Targets[1:] {
		if reported(t) < reported(best) {
			best = t
		}
	}
	return best
}

func reported(t *Target) int { return t.Load.Queued + t.Load.Running }

// TwoChoices chooses the smaller reported load of two random targets.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(v *View, _ *Query) *Target {
	a := v.Targets[v.Rand.IntN(len(v.Targets))]
	b := v.Targets[v.Rand.IntN(len(v.Targets))]
	if reported(b) < reported(a) {
		return b
	}
	return a
}
