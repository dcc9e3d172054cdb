package presence

import (
	"cmp"
	"slices"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// Period is the time between two datagrams of a gateway to another.
	Period = 400 * time.Millisecond
	// silence is how long a member that was heard may be silent and still be
	// taken for alive: three datagrams and a bit.
	silence = 1500 * time.Millisecond
	// newcomer is how long a member counts as alive that was never heard.
	newcomer = time.Second
)

// View is what a process knows of the members. The zero value is empty.
type View struct {
	mu    sync.Mutex
	peers map[graniteknot.BoxName]*peer
	// settings is the newest version of the configuration that a member said it
	// has. It never falls, since versions do not.
	settings uint64
}

// NewestSettings returns the newest version of the configuration that any other
// process said it has; 0 when none did.
func (v *View) NewestSettings() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settings
}

// Put takes in a member's newest record. It returns false when the life is
// known. Lives are told apart but not ordered, since no clock of the day and no
// counter survives a process: the store's order decides.
func (v *View) Put(m Member, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.peers == nil {
		v.peers = map[graniteknot.BoxName]*peer{}
	}
	old := v.peers[m.Box]
	if old != nil && old.Born == m.Born {
		return false
	}
	// A new member counts as ready until its first datagram is due.
	v.peers[m.Box] = &peer{Member: m, ready: true, heard: now.Add(newcomer - silence)}
	return true
}

// Remove forgets a member.
func (v *View) Remove(box graniteknot.BoxName) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.peers, box)
}

// Heard notes a datagram of a member. One that tells who sent it makes the
// member known, also while the store is away.
func (v *View) Heard(m *Message, now time.Time) {
	if m.Self != nil {
		v.Put(*m.Self, now)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settings = max(v.settings, m.Settings)
	if p := v.peers[m.Box]; p != nil {
		p.ready, p.heard = m.Ready, now
	}
}

// Members returns all members of a role, but for one box, ordered by name.
func (v *View) Members(role Role, but graniteknot.BoxName) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []Member
	for _, p := range v.peers {
		if p.Role == role && p.Box != but {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Box, b.Box) })
	return out
}

// Alive returns the members of a role that were heard of late and are ready,
// but for one box, ordered by name.
func (v *View) Alive(role Role, but graniteknot.BoxName, now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []Member
	for _, p := range v.peers {
		if p.Role == role && p.Box != but && p.ready && now.Sub(p.heard) < silence {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Box, b.Box) })
	return out
}
