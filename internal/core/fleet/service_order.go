package fleet

import "time"

// serviceOrder orders queued requests.
type serviceOrder struct {
	// firstEvent is when an engine that got a request now would send its first event.
	firstEvent time.Time
	// shares are those of accounts; nil if the service has none.
	shares *accountShares
	// inTimeFirst puts requests that can be in time before all others.
	inTimeFirst bool
}

// next returns the index of the request to serve next: the more urgent first, then
// those that can still be in time, then those of accounts within their shares, then those
// that returned when they were told to, then those of accounts with the least excess over
// their shares, then by deadline. A retry's deadline counts from its first try, since most
// retries have no further one left.
func (o serviceOrder) next(queue []*waiter) int {
	best := 0
	for i := range queue {
		if o.before(queue[i], queue[best]) {
			best = i
		}
	}
	return best
}

// inTime reports whether a request that was sent now would be in time.
func (o serviceOrder) inTime(w *waiter) bool { return w.bounds.FirstEventBy.After(o.firstEvent) }

// servedAsInTime reports whether a request is served like those in time: it can be, or its caller was
// promised room. A caller that returns as told is mostly late by then, and would be served after
// all newcomers.
func (o serviceOrder) servedAsInTime(w *waiter) bool { return w.query.Promised || o.inTime(w) }

func (o serviceOrder) before(a, b *waiter) bool {
	aFirst, bFirst := o.servedAsInTime(a), o.servedAsInTime(b)
	if o.inTimeFirst && aFirst != bFirst {
		return aFirst
	}
	if a.query.Urgency != b.query.Urgency {
		return a.query.Urgency < b.query.Urgency
	}
	if aFirst != bFirst {
		return aFirst
	}
	aExcess, bExcess := o.shares.excess(a.query.Account), o.shares.excess(b.query.Account)
	if aOver, bOver := aExcess > 0, bExcess > 0; aOver != bOver {
		return bOver
	}
	if a.query.Promised != b.query.Promised {
		return a.query.Promised
	}
	if a.query.Returned != b.query.Returned {
		return a.query.Returned
	}
	if aInTime := o.inTime(a); a.query.Returned && aInTime != o.inTime(b) {
		return aInTime
	}
	if aExcess != bExcess {
		return aExcess < bExcess
	}
	return a.bounds.FirstEventBy.Before(b.bounds.FirstEventBy)
}
