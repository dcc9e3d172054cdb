package gateway

import (
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quarantine"
)

// replicationState tracks which quarantine entries the store and the other gateways have. The zero
// value is ready to use.
type replicationState struct {
	mu sync.Mutex
	// fetched is the digest of each gateway whose entries were last fetched.
	fetched map[graniteknot.BoxName]uint64
	// stored is the set of requests that the store has a record of.
	stored map[quarantine.Key]bool
	// writeAt is when to write the record of each request whose record is out of date in the
	// store.
	writeAt map[quarantine.Key]time.Time
}

// scheduleWrite schedules writing the store's record of an entry that is quarantined or no longer is,
// or removing that of a released one, unless the store is up to date.
func (s *replicationState) scheduleWrite(e *quarantine.Entry, due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeAt == nil {
		s.writeAt = map[quarantine.Key]time.Time{}
	}
	switch stored := s.stored[e.Key]; {
	case e.Quarantined() && !stored, e.Released && stored:
		s.writeAt[e.Key] = due
	case e.Part && stored && !e.Quarantined():
		// The record takes the crashes that the part was cleared of; it is not removed, which
		// would release the part whatever crashes follow.
		s.writeAt[e.Key] = due
	}
}

// markStored records what the store has of a request.
func (s *replicationState) markStored(e *quarantine.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stored == nil {
		s.stored = map[quarantine.Key]bool{}
	}
	delete(s.writeAt, e.Key)
	if e.Quarantined() || e.Part && !e.Released {
		s.stored[e.Key] = true
	} else {
		delete(s.stored, e.Key)
	}
}

// resetStored forgets what the store has.
func (s *replicationState) resetStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = nil
}

// dueWrites returns the requests whose records are to be written now.
func (s *replicationState) dueWrites(now time.Time) []quarantine.Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []quarantine.Key
	for k, due := range s.writeAt {
		if !now.Before(due) {
			out = append(out, k)
		}
	}
	return out
}

// digestChanged reports whether a gateway's digest differs from the last one fetched from it, and
// records it. So a gateway that knows less than this one is not queried repeatedly.
func (s *replicationState) digestChanged(box graniteknot.BoxName, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetched == nil {
		s.fetched = map[graniteknot.BoxName]uint64{}
	}
	if s.fetched[box] == digest {
		return false
	}
	s.fetched[box] = digest
	return true
}

// forgetDigest forgets the digest of a gateway after a failed fetch.
func (s *replicationState) forgetDigest(box graniteknot.BoxName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fetched, box)
}
