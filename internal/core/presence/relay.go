package presence

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

// In a small deployment every process sends its messages to each gateway. That traffic
// grows with the square of the number of boxes, and most of it crosses availability zones.
// Processes of larger deployments therefore send to a few gateways of each zone only, the
// relays, which forward to the gateways of their zone in bundles. There is no election: each
// gateway computes from its own view whether it is a relay, and announces it. While views
// differ, a zone may have one relay too many or too few. If no relay of a zone is heard, all
// gateways of the zone are sent to directly.
const (
	// MaxDirectGateways is the largest number of gateways that are all sent to directly.
	MaxDirectGateways = 12
	// relaysPerZone is the number of relays of a zone: no update is lost when one fails.
	relaysPerZone = 2
	// BundleInterval is the time between two bundles of a relay. With RelayedReportInterval,
	// load data gets about as old as with direct reports to 40 gateways.
	BundleInterval = 200 * time.Millisecond
	// RelayAnnounceInterval is the time between a relay's announcements to all processes.
	RelayAnnounceInterval = 800 * time.Millisecond
	// relayTimeout is for how long a silent relay still counts as one: two of its
	// announcements may be lost.
	relayTimeout = 2 * time.Second
	// maxFrozenView bounds for how long a gateway that hears no relay keeps its view frozen.
	// Without freezing, a gateway whose relays have both failed would soon take all others
	// for dead and use all slots of the engines itself.
	maxFrozenView = 5 * time.Second
)

// UpdateRelaying determines, records and returns whether a gateway is a relay of its zone:
// whether it is staying and is among the first alive ones in the order of compareRelayPriority.
func (v *View) UpdateRelaying(self Member, staying bool, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.relaying = staying && len(v.gateways)+1 > MaxDirectGateways && v.elected(self, now)
	return v.relaying
}

// elected reports whether a gateway is among the first relaysPerZone of its zone. The caller
// holds v.mu.
func (v *View) elected(self Member, now time.Time) bool {
	ahead := 0
	for _, p := range v.gateways {
		// A relay has to announce itself; bundles of others don't count.
		silent := !p.relayHeard.IsZero() && now.Sub(p.relayHeard) > relayTimeout
		if p.Zone == self.Zone && p.Box != self.Box && !silent && v.isAlive(p, now) && compareRelayPriority(p.Member, self) < 0 {
			ahead++
		}
	}
	return ahead < relaysPerZone
}

// compareRelayPriority orders gateways by their priority as relays: by bandwidth, largest
// first, then by hash.
func compareRelayPriority(a, b Member) int {
	return cmp.Or(cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(boxHash(a.Box), boxHash(b.Box)))
}

// boxHash identifies a box in bundles. Two boxes with the same hash count as alive as long as
// one of them is; among 370 boxes there is no collision in 99,998 of 100,000 deployments.
func boxHash(box graniteknot.BoxName) uint32 { return uint32(xxhash.Sum64String(string(box))) }

// DirectGateways returns the addresses of the gateways to send to directly, except one box:
// all in a small deployment, else the relays and all gateways of zones without a relay that
// is heard.
func (v *View) DirectGateways(except graniteknot.BoxName, now time.Time) []graniteknot.Address {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all, relays []*peer
	relayed := map[graniteknot.AvailabilityZone]bool{}
	for _, p := range v.gateways {
		if p.Box == except {
			continue
		}
		all = append(all, p)
		if !p.relayHeard.IsZero() && now.Sub(p.relayHeard) <= relayTimeout {
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

// ZoneGateways returns the addresses of the other gateways in a relay's zone.
func (v *View) ZoneGateways(self Member) []graniteknot.Address {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []*peer
	for _, p := range v.gateways {
		if p.Zone == self.Zone && p.Box != self.Box {
			all = append(all, p)
		}
	}
	return addresses(all)
}

// addresses returns the sorted peer addresses of some members.
func addresses(all []*peer) []graniteknot.Address {
	out := make([]graniteknot.Address, len(all))
	for i, p := range all {
		out[i] = p.PeerAddress
	}
	slices.Sort(out)
	return out
}

// ApplyBundle updates the view from a relay's bundle.
func (v *View) ApplyBundle(m *Message, now time.Time) {
	b := m.Bundle
	for _, joined := range b.Joined {
		v.Put(joined, now)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastRelayUpdate = now
	v.configVersion = max(v.configVersion, b.ConfigVersion, m.ConfigVersion)
	if p := v.peers[m.Box]; p != nil {
		p.ready, p.lastHeard, p.relayHeard = m.Ready, now, now
		v.setStoreLost(p, m.StoreLost)
	}
	for _, hash := range b.Ready {
		if p := v.gateways[hash]; p != nil {
			p.ready, p.lastHeard = true, now
			v.setStoreLost(p, slices.Contains(b.StoreLost, hash))
		}
	}
	for _, hash := range b.Unready {
		if p := v.gateways[hash]; p != nil {
			p.ready, p.lastHeard = false, now
			v.setStoreLost(p, slices.Contains(b.StoreLost, hash))
		}
	}
}

// isAlive reports whether a member was heard within heartbeatTimeout. While no relay is heard at
// all, time stands still shortly after the last update, for up to maxFrozenView. The caller
// holds v.mu.
func (v *View) isAlive(p *peer, now time.Time) bool {
	if !v.lastRelayUpdate.IsZero() && now.Sub(v.lastRelayUpdate) < maxFrozenView {
		now = earlier(now, v.lastRelayUpdate.Add(2*BundleInterval))
	}
	return now.Sub(p.lastHeard) < heartbeatTimeout
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
