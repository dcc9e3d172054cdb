package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"graniteknot.org/go/internal/core/presence"
)

// freshness knows how old the replicas' records are. The zero value has none.
type freshness struct {
	mu sync.Mutex
	// confirmedAt is the start of the last read that showed the replicas' records, or
	// of the question whose answer did, less its age.
	confirmedAt time.Time
	// preferred is the place of the reader that is asked first: the one that last proved
	// something. At the start each gateway takes another one.
	preferred    int
	preferredSet bool
	// probedAt is when each topic's records were last read, or tried to be read,
	// while the store did not answer.
	probedAt map[presence.Kind]time.Time
	// unconfirmedSince is since when readers that answer prove nothing of a topic.
	unconfirmedSince map[presence.Kind]time.Time
}

// probeDue tells whether a store that does not answer is to be called again.
func (v *freshness) probeDue(kind presence.Kind, period time.Duration, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.probedAt == nil {
		v.probedAt = map[presence.Kind]time.Time{}
	}
	if now.Sub(v.probedAt[kind]) < period {
		return false
	}
	v.probedAt[kind] = now
	return true
}

// unconfirmedFor notes whether readers that answer prove nothing, and returns for how long.
func (v *freshness) unconfirmedFor(kind presence.Kind, doubted bool, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unconfirmedSince == nil {
		v.unconfirmedSince = map[presence.Kind]time.Time{}
	}
	if !doubted {
		delete(v.unconfirmedSince, kind)
		return 0
	}
	since, known := v.unconfirmedSince[kind]
	if !known {
		v.unconfirmedSince[kind], since = now, now
	}
	return now.Sub(since)
}

func (v *freshness) confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// lastConfirmed returns from when on records may have been written that were not known; zero is any time.
func (v *freshness) lastConfirmed() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmedAt
}

func (v *freshness) age(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.confirmedAt), !v.confirmedAt.IsZero()
}

// preferredReader returns the place of the reader that is asked preferredReader.
func (v *freshness) preferredReader() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.preferredSet {
		v.preferredSet, v.preferred = true, rand.IntN(math.MaxInt32)
	}
	return v.preferred
}

// prefer has the reader at a place asked first from now on.
func (v *freshness) prefer(place int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.preferred = place
}
