package presence

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

// In a small deployment every process tells each gateway what it has to tell. That
// grows with the square of the boxes, most of it from other availability zones. So in larger ones
// a few gateways of each zone, the relays, are told, and these tell the gateways of
// their zone in bundles. Nobody appoints relays: each gateway finds out whether it is
// one from whom it knows, and says so; two that differ in what they know make one too
// many or too few for a moment. Where no relay of a zone is heard, all its gateways are
// told directly.
const (
	// MaxDirectGateways is the number of gateways up to which each is told directly.
	MaxDirectGateways = 12
	// relaysPerZone is how many relays a zone has: the loss of one costs nothing.
	relaysPerZone = 2
	// BundleInterval is the time between two bundles of a relay: with the period of
	// digests to relays, what gateways know is as old as digests to 40 gateways were.
	BundleInterval = 200 * time.Millisecond
	// RelayAnnounceInterval is how often a relay tells all others that it is one.
	RelayAnnounceInterval = 800 * time.Millisecond
	// relaySilence is how long a relay is told on that is not heard: two of its words
	// may be lost.
	relaySilence = 2 * time.Second
	// mostFrozen bounds for how long the view of a gateway that no relay tells anything
	// stays as it is. Without it a gateway whose relays have both ended would soon take all
	// others for dead, and all places of the engines for its own.
	mostFrozen = 5 * time.Second
)

// UpdateRelaying tells whether a gateway is a relay of its zone: whether it is among the
// first that live, the ones with the widest links first. One that is about to end is
// none.
func (v *View) UpdateRelaying(self Member, stays bool, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.relaying = stays && v.gateways()+1 > MaxDirectGateways && v.first(self, now)
	return v.relaying
}

// gateways counts the known ones; called with the lock held.
func (v *View) gateways() int {
	n := 0
	for _, p := range v.peers {
		if p.Role == RoleGateway {
			n++
		}
	}
	return n
}

func (v *View) first(self Member, now time.Time) bool {
	before := 0
	for _, p := range v.peers {
		// A relay is heard itself; what others say of it does not count.
		silent := !p.relay.IsZero() && now.Sub(p.relay) > relaySilence
		if p.Role == RoleGateway && p.Zone == self.Zone && p.Box != self.Box && !silent && v.alive(p, now) && order(p.Member, self) < 0 {
			before++
		}
	}
	return before < relaysPerZone
}

// order says which of two gateways relays first.
func order(a, b Member) int {
	return cmp.Or(cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(nameOf(a.Box), nameOf(b.Box)))
}

// nameOf is what bundles call a box by. Two boxes with the same would be taken for
// alive as long as one of them is; of 370 boxes no two have it in 99,998 of 100,000
// deployments.
func nameOf(box graniteknot.BoxName) uint32 { return uint32(xxhash.Sum64String(string(box))) }

// DirectGateways returns where the gateways are to be told that are told directly, but for
// one box: all in a small deployment, else the relays of each zone and all gateways
// of zones of which no relay is heard.
func (v *View) DirectGateways(but graniteknot.BoxName, now time.Time) []graniteknot.Address {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all, relays []*peer
	relayed := map[graniteknot.AvailabilityZone]bool{}
	for _, p := range v.peers {
		if p.Role != RoleGateway || p.Box == but {
			continue
		}
		all = append(all, p)
		if !p.relay.IsZero() && now.Sub(p.relay) <= relaySilence {
			relays = append(relays, p)
			relayed[p.Zone] = true
		}
	}
	if len(all) > MaxDirectGateways {
		all = slices.DeleteFunc(all, func(p *peer) bool { return relayed[p.Zone] })
		all = append(all, relays...)
	}
	return addresses(all)
}

// ZoneGateways returns where a relay tells the gateways of its zone.
func (v *View) ZoneGateways(self Member) []graniteknot.Address {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []*peer
	for _, p := range v.peers {
		if p.Role == RoleGateway && p.Zone == self.Zone && p.Box != self.Box {
			all = append(all, p)
		}
	}
	return addresses(all)
}

// addresses returns where some members take datagrams, in order.
func addresses(all []*peer) []graniteknot.Address {
	out := make([]graniteknot.Address, len(all))
	for i, p := range all {
		out[i] = p.PeerAddress
	}
	slices.Sort(out)
	return out
}

// ApplyBundle takes in a bundle.
func (v *View) ApplyBundle(m *Message, now time.Time) {
	b := m.Bundle
	for _, joined := range b.Joined {
		v.Put(joined, now)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.told = now
	v.settings = max(v.settings, b.ConfigVersion, m.ConfigVersion)
	if p := v.peers[m.Box]; p != nil {
		p.ready, p.heard, p.relay = m.Ready, now, now
		v.setLost(p, m.StoreLost)
	}
	named := make(map[uint32]*peer, len(v.peers))
	for _, p := range v.peers {
		if p.Role == RoleGateway {
			named[nameOf(p.Box)] = p
		}
	}
	for _, name := range b.Ready {
		if p := named[name]; p != nil {
			p.ready, p.heard = true, now
			v.setLost(p, slices.Contains(b.StoreLost, name))
		}
	}
	for _, name := range b.Unready {
		if p := named[name]; p != nil {
			p.ready, p.heard = false, now
			v.setLost(p, slices.Contains(b.StoreLost, name))
		}
	}
}

// alive tells whether a member was heard of late. While nothing at all is heard from
// relays, that is the time at which something last was; called with the lock held.
func (v *View) alive(p *peer, now time.Time) bool {
	if !v.told.IsZero() && now.Sub(v.told) < mostFrozen {
		now = earlier(now, v.told.Add(2*BundleInterval))
	}
	return now.Sub(p.heard) < silence
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
