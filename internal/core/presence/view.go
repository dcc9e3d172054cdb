package presence

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

const (
	// HeartbeatInterval is the time between two datagrams of a gateway to another.
	HeartbeatInterval = 400 * time.Millisecond
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
	// told is when a relay last told something, or this relay was; zero for never.
	told time.Time
	// lostChanges counts the changes of what members say of the store.
	lostChanges uint64
	// relaying tells that this process is a relay.
	relaying bool
	// registered is the position of the own record; nil before it is written.
	registered *graniteknot.Position
}

// SetOwnPosition notes the position of the own record.
func (v *View) SetOwnPosition(at graniteknot.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registered = &at
}

// NewestConfigVersion returns the newest version of the configuration that any other
// process said it has; 0 when none did.
func (v *View) NewestConfigVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settings
}

// Put takes in what a member tells of itself. It returns false when the life is
// known. Lives are told apart but not ordered, since no clock of the day and no
// counter survives a process: the store's order decides.
func (v *View) Put(m Member, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := unrecorded
	if old := v.peers[m.Box]; old != nil {
		at = old.at
	}
	return v.put(m, at, now)
}

// PutRecord takes in a member's record at a position of the store, unless a later one is
// known. It returns false when the life is known.
func (v *View) PutRecord(m Member, at graniteknot.Position, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.peers[m.Box]; old != nil && at <= old.at {
		return false
	}
	return v.put(m, at, now)
}

func (v *View) put(m Member, at graniteknot.Position, now time.Time) bool {
	if v.peers == nil {
		v.peers = map[graniteknot.BoxName]*peer{}
	}
	if old := v.peers[m.Box]; old != nil && old.Incarnation == m.Incarnation {
		old.at = at
		return false
	}
	// A new member counts as ready until its first datagram is due.
	v.peers[m.Box] = &peer{Member: m, at: at, ready: true, heard: now.Add(newcomer - silence)}
	return true
}

// Digest is a sum of all lives that are known, the own one included: the same for all
// who know the same.
func (v *View) Digest(self Member) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := lifeOf(&self)
	for _, p := range v.peers {
		if p.Box != self.Box {
			out ^= lifeOf(&p.Member)
		}
	}
	return out
}

func lifeOf(m *Member) uint64 {
	return xxhash.Sum64String(string(m.Box) + "\x00" + strconv.FormatUint(uint64(m.Incarnation), 10))
}

// records returns the records of all members, the own one included, in order of their
// names.
func (v *View) records(self Member) []graniteknot.KeyedRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	own := peer{Member: self, at: unrecorded}
	if v.registered != nil {
		own.at = *v.registered
	}
	all := map[graniteknot.BoxName]peer{self.Box: own}
	for box, p := range v.peers {
		if box != self.Box {
			all[box] = *p
		}
	}
	var out []graniteknot.KeyedRecord
	for _, box := range slices.Sorted(maps.Keys(all)) {
		p := all[box]
		if value, err := json.Marshal(p.Member); err == nil {
			out = append(out, graniteknot.KeyedRecord{Key: string(box), Value: value, At: p.at})
		}
	}
	return out
}

// Remove forgets a member.
func (v *View) Remove(box graniteknot.BoxName) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.peers, box)
}

// ApplyMessage notes a datagram of a member. One that tells who sent it makes the
// member known, also while the store is away. It returns whether the life is new.
func (v *View) ApplyMessage(m *Message, now time.Time) (fresh bool) {
	if m.Self != nil {
		fresh = v.Put(*m.Self, now)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settings = max(v.settings, m.ConfigVersion)
	p := v.peers[m.Box]
	if p == nil {
		return fresh
	}
	p.ready, p.heard, p.relay = m.Ready, now, time.Time{}
	if m.Self != nil {
		v.setLost(p, m.StoreLost)
	}
	if m.Relay {
		p.relay = now
	}
	if v.relaying && p.Role == RoleGateway {
		v.told = now
	}
	return fresh
}

// Members returns all members of a role, but for one box, ordered by name.
func (v *View) Members(role Role, but graniteknot.BoxName) []Member {
	return v.members(role, but, func(*peer) bool { return true })
}

func (v *View) members(role Role, but graniteknot.BoxName, are func(*peer) bool) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []Member
	for _, p := range v.peers {
		if p.Role == role && p.Box != but && are(p) {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Box, b.Box) })
	return out
}

// PeerAddress returns where a member takes datagrams; false when it is not known.
func (v *View) PeerAddress(box graniteknot.BoxName) (graniteknot.Address, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[box]
	if p == nil {
		return "", false
	}
	return p.PeerAddress, true
}

// ReadyMembers returns the members of a role that were heard of late and are ready,
// but for one box, ordered by name.
func (v *View) ReadyMembers(role Role, but graniteknot.BoxName, now time.Time) []Member {
	return v.members(role, but, func(p *peer) bool { return p.ready && v.alive(p, now) })
}

// setLost notes whether the store answers a member; called with the lock held.
func (v *View) setLost(p *peer, lost bool) {
	if p.lost != lost {
		p.lost = lost
		v.lostChanges++
	}
}

// StoreLostChanges counts how often members told that the store does not answer them, or does again.
func (v *View) StoreLostChanges() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lostChanges
}

// StoreLost tells whether a member said that the store does not answer it.
func (v *View) StoreLost(box graniteknot.BoxName) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[box]
	return p != nil && p.lost
}

// AliveMembers returns the members of a role that were heard of late, ready or not, but for
// one box, ordered by name.
func (v *View) AliveMembers(role Role, but graniteknot.BoxName, now time.Time) []Member {
	return v.members(role, but, func(p *peer) bool { return v.alive(p, now) })
}
