package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// openingFor is how long after a group begins to take requests it counts as opening: what
// waited meanwhile is served, and the first few maps have come into force.
const openingFor = 3 * time.Second

// closedHope is how long a service whose groups all tell that they do not run is waited
// for. Groups open a second or two after a loss of power, and five after a rank's end; one
// that has been closed for longer may have lost ranks for good, and its callers would wait
// in vain at each try.
const closedHope = 5 * time.Second

// opening tells whether one of a service's groups has just begun to take requests, as
// after a loss of power or a rank's end. The load that it answers is what has piled up: those who
// have waited since before, and those who come back because that ended their first
// try, most of whom have no other left. Meanwhile all wait: how much the group bears by its
// first passes says little, since it grows with each map, and those who are told at once that
// they could not be in time come back later to engines that have room. Called with the lock
// held.
func (t *Table) opening(s graniteknot.Service, now time.Time) bool {
	for _, g := range t.groups[s] {
		if !g.opened.IsZero() && now.Sub(g.opened) < openingFor {
			return true
		}
	}
	return false
}

// down tells whether none of a service's groups has run for so long that waiting for one is
// in vain; called with the lock held.
func (t *Table) down(s graniteknot.Service, now time.Time) bool {
	for _, g := range t.groups[s] {
		if g.closed.IsZero() || now.Sub(g.closed) < closedHope {
			return false
		}
	}
	return len(t.groups[s]) > 0
}
