package forward

import (
	"sync"
	"time"
)

// ends knows when the requests under way have to be answered. A timer tells each, but
// timers stand still while the box is suspended: after that Expire does. The zero value is
// empty.
type ends struct {
	mu   sync.Mutex
	open map[*deadline]struct{}
	// ahead is by how much the clock that counts suspensions was ahead at the last look.
	ahead time.Duration
}

type deadline struct {
	at   time.Time
	over func()
}

// begin has a function called when a request's time is over, which is after left by the
// steady clock. The result ends that.
func (e *ends) begin(at time.Time, left time.Duration, over func()) (end func()) {
	d := &deadline{at, over}
	timer := time.AfterFunc(left, over)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil {
		e.open = map[*deadline]struct{}{}
	}
	e.open[d] = struct{}{}
	return func() {
		timer.Stop()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.open, d)
	}
}

// suspended tells whether the box was suspended since the last look.
func (e *ends) suspended(ahead time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.ahead
	e.ahead = ahead
	return ahead-before > leastSuspension
}

// leastSuspension is how much the two clocks may differ by reading them one after the other.
const leastSuspension = 10 * time.Millisecond

// past returns what to call for the requests whose time is over.
func (e *ends) past(now time.Time) []func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []func()
	for d := range e.open {
		if !now.Before(d.at) {
			out = append(out, d.over)
		}
	}
	return out
}

// CancelExpired ends the requests whose time was over while the box was suspended.
func (f *Forwarder) CancelExpired() {
	if !f.ends.suspended(f.Clock.Ahead()) {
		return
	}
	for _, over := range f.ends.past(f.Clock.Now()) {
		over()
	}
}
