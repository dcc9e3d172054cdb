package presence

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// Count returns how many members of a role there are, except one box.
func (v *View) Count(role Role, except graniteknot.BoxName) int {
	return v.count(role, except, func(*peer) bool { return true })
}

// CountAlive returns how many members of a role are alive, ready or not, except one box.
func (v *View) CountAlive(role Role, except graniteknot.BoxName, now time.Time) int {
	return v.count(role, except, func(p *peer) bool { return v.isAlive(p, now) })
}

// CountReady returns how many members of a role are alive and ready, except one box.
func (v *View) CountReady(role Role, except graniteknot.BoxName, now time.Time) int {
	return v.count(role, except, func(p *peer) bool { return p.ready && v.isAlive(p, now) })
}

func (v *View) count(role Role, except graniteknot.BoxName, matches func(*peer) bool) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, p := range v.peers {
		if p.Role == role && p.Box != except && matches(p) {
			n++
		}
	}
	return n
}

// EachAlive calls a function for each member of a role that is alive, except one box, in no
// order. The function gets whether the member reported that it can't reach the store; it must
// not call the view.
func (v *View) EachAlive(role Role, except graniteknot.BoxName, now time.Time, do func(m *Member, storeLost bool)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		if p.Role == role && p.Box != except && v.isAlive(p, now) {
			do(&p.Member, p.storeLost)
		}
	}
}
