package gateway

import (
	"net/http"
	"sync"
	"time"
)

// bodyReads holds the reads of requests' bodies, which a shutdown shortens. The zero value is empty.
type bodyReads struct {
	mu   sync.Mutex
	open map[*bodyRead]struct{}
}

// bodyRead is the read of one request's body.
type bodyRead struct {
	reads   *bodyReads
	control *http.ResponseController
	// by returns until when the body is of use; zero for any time.
	by func() time.Time
	// deadline is the current one, guarded by the lock of reads; zero is none.
	deadline time.Time
}

// begin adds a read and sets its deadline.
func (s *bodyReads) begin(control *http.ResponseController, by func() time.Time) *bodyRead {
	r := &bodyRead{reads: s, control: control, by: by}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*bodyRead]struct{}{}
	}
	s.open[r] = struct{}{}
	r.apply(time.Time{})
	return r
}

// shorten applies to all reads that their bodies are of use for a shorter time than before.
func (s *bodyReads) shorten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.open {
		r.apply(r.deadline)
	}
}

// setDeadline bounds the read by a time, beside the one until which the body is of use.
func (r *bodyRead) setDeadline(at time.Time) {
	r.reads.mu.Lock()
	defer r.reads.mu.Unlock()
	r.apply(at)
}

// end removes the read and its deadline.
func (r *bodyRead) end() {
	r.reads.mu.Lock()
	defer r.reads.mu.Unlock()
	delete(r.reads.open, r)
	_ = r.control.SetReadDeadline(time.Time{})
}

// apply sets the earlier of a deadline and the time until which the body is of use. The caller holds the lock.
func (r *bodyRead) apply(at time.Time) {
	if by := r.by(); !by.IsZero() && (at.IsZero() || by.Before(at)) {
		at = by
	}
	r.deadline = at
	// A connection without deadlines is bounded by its request's.
	_ = r.control.SetReadDeadline(at)
}
