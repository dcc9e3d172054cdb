package forward

import (
	"sync"
	"time"
)

// deadlineSet holds the deadlines of the requests in progress. A timer cancels each request,
// but timers stand still while the box is suspended; CancelExpired catches up afterwards. The
// zero value is empty.
type deadlineSet struct {
	mu      sync.Mutex
	pending map[*deadline]struct{}
	// ahead is the clock's offset from Go's monotonic clock at the last check, the total time
	// of suspensions.
	ahead time.Duration
}

type deadline struct {
	// at is zero for a request that may take any time.
	at     time.Time
	cancel func()
}

// add calls cancel at a deadline, which is after remaining by the monotonic clock; a zero one is
// none. The returned function removes the deadline.
func (s *deadlineSet) add(at time.Time, remaining time.Duration, cancel func()) (remove func()) {
	d := &deadline{at, cancel}
	stop := func() bool { return false }
	if !at.IsZero() {
		stop = time.AfterFunc(remaining, cancel).Stop
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[*deadline]struct{}{}
	}
	s.pending[d] = struct{}{}
	return func() {
		stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, d)
	}
}

// detectSuspension reports whether the box was suspended since the last call.
func (s *deadlineSet) detectSuspension(ahead time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.ahead
	s.ahead = ahead
	return ahead-before > minSuspension
}

// minSuspension is more than the difference that reading two clocks in turn can cause.
const minSuspension = 10 * time.Millisecond

// expired returns the cancel functions of the requests whose deadline has passed.
func (s *deadlineSet) expired(now time.Time) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []func()
	for d := range s.pending {
		if !d.at.IsZero() && !now.Before(d.at) {
			out = append(out, d.cancel)
		}
	}
	return out
}

// all returns the cancel functions of all requests.
func (s *deadlineSet) all() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []func()
	for d := range s.pending {
		out = append(out, d.cancel)
	}
	return out
}

// CancelExpired cancels the requests whose deadline passed while the box was suspended.
func (f *Forwarder) CancelExpired() {
	if !f.deadlines.detectSuspension(f.Clock.Ahead()) {
		return
	}
	for _, cancel := range f.deadlines.expired(f.Clock.Now()) {
		cancel()
	}
}

// ExpireAll ends all requests in progress as if their deadlines had passed.
func (f *Forwarder) ExpireAll() {
	for _, cancel := range f.deadlines.all() {
		cancel()
	}
}
