package graniteknot

import (
	"time"

	"graniteknot.org/go/internal/boottime"
)

// Suspension tells for how long the box was suspended in all; it never falls.
type Suspension interface {
	// Suspended may leave out a suspension that ended a few milliseconds ago.
	Suspended() time.Duration
	// Exact leaves out none.
	Exact() time.Duration
}

// AgeClock is the clock by which ages, leases and deadlines are decided. It goes on while
// the box is suspended: Go's steady clock stands still then, while keys are revoked,
// replicas leave and callers give up. The zero value asks the kernel.
//
// Times of an AgeClock are compared with each other only. Timers wait by the steady clock:
// after each wait the age is looked at again.
type AgeClock struct {
	// Suspension is given by tests.
	Suspension Suspension
}

// Now returns the time; a suspension that ended within the last 5 ms may be missing.
func (c AgeClock) Now() time.Time { return time.Now().Add(c.Ahead()) }

// Ahead returns by how much the clock is ahead of Go's.
func (c AgeClock) Ahead() time.Duration {
	if c.Suspension != nil {
		return c.Suspension.Suspended()
	}
	return boottime.Suspended()
}

// Exact returns the time for decisions that a suspension must not outrun.
func (c AgeClock) Exact() time.Time {
	if c.Suspension != nil {
		return time.Now().Add(c.Suspension.Exact())
	}
	return time.Now().Add(boottime.Exact())
}

// Since returns the time since t.
func (c AgeClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c AgeClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
