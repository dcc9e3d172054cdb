package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"graniteknot.org/go/internal/core/presence"
)

// freshness tracks how recently replica records were confirmed, and the state of asking the
// readers and the store. The zero value is ready to use.
type freshness struct {
	mu sync.Mutex
	// confirmedAt is the start of the last read that returned the replica records; for an answer
	// of another gateway, the time of the query less the answer's age.
	confirmedAt time.Time
	// preferred is the index of the reader to ask first, the one that last confirmed something. It
	// starts at random, which spreads the gateways over the readers.
	preferred    int
	preferredSet bool
	// probedAt is when each topic was last read, or tried to be read, during a store outage.
	probedAt map[presence.QueryKind]time.Time
	// unconfirmedSince is since when the readers answer without confirming a topic.
	unconfirmedSince map[presence.QueryKind]time.Time
}

// probeDue reports whether to call a store again that does not answer, and if so records the call.
func (f *freshness) probeDue(kind presence.QueryKind, period time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probedAt == nil {
		f.probedAt = map[presence.QueryKind]time.Time{}
	}
	if now.Sub(f.probedAt[kind]) < period {
		return false
	}
	f.probedAt[kind] = now
	return true
}

// unconfirmedFor records whether the readers answer without confirming a topic, and returns for
// how long.
func (f *freshness) unconfirmedFor(kind presence.QueryKind, unconfirmed bool, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unconfirmedSince == nil {
		f.unconfirmedSince = map[presence.QueryKind]time.Time{}
	}
	if !unconfirmed {
		delete(f.unconfirmedSince, kind)
		return 0
	}
	since, known := f.unconfirmedSince[kind]
	if !known {
		f.unconfirmedSince[kind], since = now, now
	}
	return now.Sub(since)
}

func (f *freshness) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// lastConfirmed returns the time from which on records may have been written that this gateway
// does not know; zero if none were ever confirmed.
func (f *freshness) lastConfirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

func (f *freshness) age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.confirmedAt), !f.confirmedAt.IsZero()
}

// preferredReader returns the index of the reader to ask first.
func (f *freshness) preferredReader() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.preferredSet {
		f.preferredSet, f.preferred = true, rand.IntN(math.MaxInt32)
	}
	return f.preferred
}

// prefer makes the reader at an index the first to be asked.
func (f *freshness) prefer(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preferred = index
}
