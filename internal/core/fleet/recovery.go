package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// recoveryPeriod is how long a group counts as recovering after it comes up: long
// enough to serve the requests queued meanwhile and to apply the first few expert
// maps.
const recoveryPeriod = 3 * time.Second

// maxDownWait is how long requests are queued for a service whose groups all report
// that they are down. Groups come up a second or two after a power loss, and five
// seconds after a rank's end; one that stays down longer may have lost ranks for good,
// and callers would wait in vain on each retry.
const maxDownWait = 5 * time.Second

// recovering reports whether one of a service's groups has just come up, as after a
// power loss or a rank's end. It then faces a backlog: queued requests, and retries of
// those whose first try ended with the outage, most of which have no retry left. All
// are queued meanwhile: the first passes say little about capacity, which
// grows with each expert map, and callers refused at once would retry when engines
// have capacity again. The caller holds the lock.
func (t *Table) recovering(s graniteknot.Service, now time.Time) bool {
	for _, g := range t.groups[s] {
		if g.justUp(now) {
			return true
		}
	}
	return false
}

// allDown reports whether all of a service's groups have been down for so long that
// waiting is pointless. The caller holds the lock.
func (t *Table) allDown(s graniteknot.Service, now time.Time) bool {
	for _, g := range t.groups[s] {
		if g.downSince.IsZero() || now.Sub(g.downSince) < maxDownWait {
			return false
		}
	}
	return len(t.groups[s]) > 0
}
