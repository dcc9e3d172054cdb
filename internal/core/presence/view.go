package presence

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

const (
	// HeartbeatInterval is the time between two datagrams of a gateway to another one.
	HeartbeatInterval = 400 * time.Millisecond
	// heartbeatTimeout is for how long a silent member still counts as alive: three
	// heartbeats and some slack.
	heartbeatTimeout = 1500 * time.Millisecond
	// firstHeartbeatTimeout is for how long a member that was never heard counts as alive.
	firstHeartbeatTimeout = time.Second
)

// View is a process's view of the membership. The zero value is empty.
type View struct {
	mu    sync.Mutex
	peers map[graniteknot.BoxName]*peer
	// gateways are the peers that are gateways, by boxHash. Of two with the same hash it
	// holds the one that was put last.
	gateways map[uint32]*peer
	// digest combines the memberHash of all peers.
	digest uint64
	// configVersion is the newest configuration version that a member reported. It never
	// decreases, as versions do not.
	configVersion uint64
	// lastRelayUpdate is when the last bundle arrived or, on a relay, the last message of a
	// gateway; zero is never.
	lastRelayUpdate time.Time
	// storeLostChanges counts changes of the members' storeLost.
	storeLostChanges uint64
	// relaying is whether this process is a relay.
	relaying bool
	// ownPosition is the position of the own record in the store; nil before it is known.
	ownPosition *graniteknot.Position
}

// SetOwnPosition sets the position of the own record in the store.
func (v *View) SetOwnPosition(at graniteknot.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ownPosition = &at
}

// NewestConfigVersion returns the newest configuration version that any other process
// reported; 0 if none did.
func (v *View) NewestConfigVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configVersion
}

// Put adds or updates a member from its own description. It returns false if the incarnation
// is known. Incarnations are distinguished but not ordered, since neither a wall clock nor a
// counter is reliable across restarts: the order of records in the store decides.
func (v *View) Put(m Member, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := unknownPosition
	if old := v.peers[m.Box]; old != nil {
		at = old.position
	}
	return v.put(m, at, now)
}

// PutRecord adds or updates a member from its record at a position of the store, unless a
// later one is known. It returns false if the incarnation is known.
func (v *View) PutRecord(m Member, at graniteknot.Position, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.peers[m.Box]; old != nil && at <= old.position {
		return false
	}
	return v.put(m, at, now)
}

// put implements Put and PutRecord. The caller holds v.mu.
func (v *View) put(m Member, at graniteknot.Position, now time.Time) bool {
	if v.peers == nil {
		v.peers = map[graniteknot.BoxName]*peer{}
	}
	if old := v.peers[m.Box]; old != nil && old.Incarnation == m.Incarnation {
		old.position = at
		return false
	}
	v.remove(m.Box)
	// A new member counts as ready until its first datagram is overdue.
	p := &peer{Member: m, position: at, ready: true, lastHeard: now.Add(firstHeartbeatTimeout - heartbeatTimeout)}
	v.peers[m.Box] = p
	v.digest ^= memberHash(&m)
	if m.Role == RoleGateway {
		if v.gateways == nil {
			v.gateways = map[uint32]*peer{}
		}
		v.gateways[boxHash(m.Box)] = p
	}
	return true
}

// remove removes a member from the indexes. The caller holds v.mu.
func (v *View) remove(box graniteknot.BoxName) {
	p := v.peers[box]
	if p == nil {
		return
	}
	delete(v.peers, box)
	v.digest ^= memberHash(&p.Member)
	if v.gateways[boxHash(box)] == p {
		delete(v.gateways, boxHash(box))
	}
}

// Digest returns a hash of all known members, the own one included, but not of their incarnations.
// It is the same for all processes that know the same.
func (v *View) Digest(self Member) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := v.digest ^ memberHash(&self)
	if p := v.peers[self.Box]; p != nil {
		out ^= memberHash(&p.Member)
	}
	return out
}

// memberHash is a member's part of the digest. It does not depend on the incarnation: a process that
// restarts at the same addresses writes no record, and its datagrams tell the incarnation.
func memberHash(m *Member) uint64 {
	parts := []string{string(m.Box), string(m.Role), string(m.Zone), string(m.PeerAddress), string(m.RequestAddress), string(m.Target)}
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// records returns the records of all members, the own one included, ordered by box.
func (v *View) records(self Member) []graniteknot.KeyedRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	own := peer{Member: self, position: unknownPosition}
	if v.ownPosition != nil {
		own.position = *v.ownPosition
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
			out = append(out, graniteknot.KeyedRecord{Key: string(box), Value: value, At: p.position})
		}
	}
	return out
}

// Remove removes a member.
func (v *View) Remove(box graniteknot.BoxName) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remove(box)
}

// ApplyMessage updates the view from a member's message. One that describes its sender adds
// it, also while the store is unavailable. It returns whether the incarnation is new.
func (v *View) ApplyMessage(m *Message, now time.Time) (fresh bool) {
	if m.Self != nil {
		fresh = v.Put(*m.Self, now)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configVersion = max(v.configVersion, m.ConfigVersion)
	p := v.peers[m.Box]
	if p == nil {
		return fresh
	}
	p.ready, p.lastHeard, p.relayHeard = m.Ready, now, time.Time{}
	if m.Self != nil {
		v.setStoreLost(p, m.StoreLost)
	}
	if m.Relay {
		p.relayHeard = now
	}
	if v.relaying && p.Role == RoleGateway {
		v.lastRelayUpdate = now
	}
	return fresh
}

// Members returns all members of a role, except one box, ordered by box.
func (v *View) Members(role Role, except graniteknot.BoxName) []Member {
	return v.members(role, except, func(*peer) bool { return true })
}

func (v *View) members(role Role, except graniteknot.BoxName, matches func(*peer) bool) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []Member
	for _, p := range v.peers {
		if p.Role == role && p.Box != except && matches(p) {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Box, b.Box) })
	return out
}

// PeerAddress returns the address at which a member receives datagrams; false if the member
// is unknown.
func (v *View) PeerAddress(box graniteknot.BoxName) (graniteknot.Address, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[box]
	if p == nil {
		return "", false
	}
	return p.PeerAddress, true
}

// ReadyMembers returns the members of a role that are alive and ready, except one box, ordered
// by box.
func (v *View) ReadyMembers(role Role, except graniteknot.BoxName, now time.Time) []Member {
	return v.members(role, except, func(p *peer) bool { return p.ready && v.isAlive(p, now) })
}

// setStoreLost sets whether a member can't reach the store. The caller holds v.mu.
func (v *View) setStoreLost(p *peer, lost bool) {
	if p.storeLost != lost {
		p.storeLost = lost
		v.storeLostChanges++
	}
}

// StoreLostChanges returns how often the result of StoreLost has changed over all members.
func (v *View) StoreLostChanges() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storeLostChanges
}

// StoreLost reports whether a member reported that it can't reach the store.
func (v *View) StoreLost(box graniteknot.BoxName) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[box]
	return p != nil && p.storeLost
}

// AliveMembers returns the members of a role that are alive, ready or not, except one box,
// ordered by box.
func (v *View) AliveMembers(role Role, except graniteknot.BoxName, now time.Time) []Member {
	return v.members(role, except, func(p *peer) bool { return v.isAlive(p, now) })
}
