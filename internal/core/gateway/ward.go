package gateway

import (
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quarantine"
)

// ward knows what other processes and the store have of the quarantine. The zero value
// knows nothing.
type ward struct {
	mu sync.Mutex
	// taken is the digest that was last taken of each gateway.
	taken map[graniteknot.BoxName]uint64
	// stored are the requests that the store has a record of.
	stored map[quarantine.Key]bool
	// due is when each request that it has none of is to be written.
	due map[quarantine.Key]time.Time
}

// expect notes when the store is to have a record of an entry, or none of one that was
// released.
func (w *ward) expect(e *quarantine.Entry, due time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.due == nil {
		w.due = map[quarantine.Key]time.Time{}
	}
	if e.Quarantined() != w.stored[e.Key] && (e.Quarantined() || e.Released) {
		w.due[e.Key] = due
	}
}

// store notes what the store has of a request.
func (w *ward) store(e *quarantine.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stored == nil {
		w.stored = map[quarantine.Key]bool{}
	}
	delete(w.due, e.Key)
	if e.Quarantined() {
		w.stored[e.Key] = true
	} else {
		delete(w.stored, e.Key)
	}
}

// renew notes that nothing is known of what the store has.
func (w *ward) renew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stored = nil
}

// missing returns the requests whose records are to be written now.
func (w *ward) missing(now time.Time) []quarantine.Key {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []quarantine.Key
	for k, due := range w.due {
		if !now.Before(due) {
			out = append(out, k)
		}
	}
	return out
}

// differs tells whether a gateway's digest is not the one that was last taken of it: who
// knows less than this one is not asked again and again.
func (w *ward) differs(box graniteknot.BoxName, digest uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.taken == nil {
		w.taken = map[graniteknot.BoxName]uint64{}
	}
	if w.taken[box] == digest {
		return false
	}
	w.taken[box] = digest
	return true
}

// forget notes that nothing was taken of a gateway.
func (w *ward) forget(box graniteknot.BoxName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.taken, box)
}
