package gateway

import (
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quarantine"
)

// replicationState knows what other processes and the store have of the quarantine. The zero value
// knows nothing.
type replicationState struct {
	mu sync.Mutex
	// fetched is the digest that was last fetched of each gateway.
	fetched map[graniteknot.BoxName]uint64
	// stored are the requests that the store has a record of.
	stored map[quarantine.Key]bool
	// writeAt is when each request that it has none of is to be written.
	writeAt map[quarantine.Key]time.Time
}

// scheduleWrite notes when the store is to have a record of an entry, or none of one that was
// released.
func (w *replicationState) scheduleWrite(e *quarantine.Entry, due time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writeAt == nil {
		w.writeAt = map[quarantine.Key]time.Time{}
	}
	if e.Blocks() != w.stored[e.Key] && (e.Blocks() || e.Released) {
		w.writeAt[e.Key] = due
	}
}

// markStored notes what the markStored has of a request.
func (w *replicationState) markStored(e *quarantine.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stored == nil {
		w.stored = map[quarantine.Key]bool{}
	}
	delete(w.writeAt, e.Key)
	if e.Blocks() {
		w.stored[e.Key] = true
	} else {
		delete(w.stored, e.Key)
	}
}

// resetStored notes that nothing is known of what the store has.
func (w *replicationState) resetStored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stored = nil
}

// dueWrites returns the requests whose records are to be written now.
func (w *replicationState) dueWrites(now time.Time) []quarantine.Key {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []quarantine.Key
	for k, due := range w.writeAt {
		if !now.Before(due) {
			out = append(out, k)
		}
	}
	return out
}

// digestChanged tells whether a gateway's digest is not the one that was last taken of it: who
// knows less than this one is not asked again and again.
func (w *replicationState) digestChanged(box graniteknot.BoxName, digest uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fetched == nil {
		w.fetched = map[graniteknot.BoxName]uint64{}
	}
	if w.fetched[box] == digest {
		return false
	}
	w.fetched[box] = digest
	return true
}

// forgetDigest notes that nothing was taken of a gateway.
func (w *replicationState) forgetDigest(box graniteknot.BoxName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.fetched, box)
}
