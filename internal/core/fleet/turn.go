package fleet

import "time"

// turn decides who of those who wait is served next.
type turn struct {
	// event is when an engine that got a request now would give its first event.
	event time.Time
}

// first returns the index of who is served next: the more urgent first, then those who
// can still be in time, then the one whose aim is the earliest. Whoever comes back counts
// its aim from its first try, since most have no other left.
func (t turn) first(list []*waiter) int {
	best := 0
	for i := range list {
		if t.before(list[i], list[best]) {
			best = i
		}
	}
	return best
}

func (t turn) before(a, b *waiter) bool {
	if a.query.Urgency != b.query.Urgency {
		return a.query.Urgency < b.query.Urgency
	}
	inTime, other := a.wait.FirstEventBy.After(t.event), b.wait.FirstEventBy.After(t.event)
	if inTime != other {
		return inTime
	}
	return a.wait.FirstEventBy.Before(b.wait.FirstEventBy)
}
