// Package graceful decides what a process that is shutting down still begins.
package graceful

import "time"

const (
	// abortReserve is the part of a shutdown's bound that is reserved for aborting what is still open.
	abortReserve = 700 * time.Millisecond
	// lateShare is the part of the bound after which a request is forwarded only if it is sure to end in time.
	// The rest of the bound is left to those that were forwarded before.
	lateShare = 3.0 / 8
)

// Schedule is that of one shutdown.
type Schedule struct {
	Began time.Time
	// Bound is how long the shutdown may take.
	Bound time.Duration
}

// AbortAt is when open requests are aborted.
func (s Schedule) AbortAt() time.Time { return s.Began.Add(s.Bound - abortReserve) }

// ForwardBy returns until when a request may be forwarded that is answered by a time at the latest; zero if it
// may take any time.
func (s Schedule) ForwardBy(respondBy time.Time) time.Time {
	if !respondBy.IsZero() && !respondBy.After(s.AbortAt()) {
		return respondBy
	}
	return s.Began.Add(time.Duration(lateShare * float64(s.Bound)))
}
