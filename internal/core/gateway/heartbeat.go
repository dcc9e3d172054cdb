package gateway

import (
	"context"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/delay"
)

// sendHeartbeat sends this gateway's heartbeat to the other gateways. A relay sends it to all
// processes every presence.RelayPeriod, so that they know whom to report to.
func (g *Gateway) sendHeartbeat() {
	now := g.Clock.Now()
	relaying := g.Members.UpdateRelaying(g.self(), !g.leaving.Load(), now)
	if g.relaying.Swap(relaying) != relaying {
		g.Log.Info("relay", slog.Bool("relaying", relaying))
	}
	to := g.Members.DirectGateways(g.Config.Box, now)
	if relaying && now.Sub(g.relayAnnouncedAt) >= presence.RelayAnnounceInterval {
		g.relayAnnouncedAt = now
		to = g.allPeers()
	}
	g.updateDemand(now)
	g.sendWithClaims(g.heartbeat(), to, now)
	if relaying {
		g.relayDemand(now)
	}
	g.Fleet.SetGateways(g.Members.CountReady(presence.RoleGateway, g.Config.Box, now) + 1)
}

// sendHeartbeatTo sends a heartbeat and the limits that this gateway owns to a new member.
func (g *Gateway) sendHeartbeatTo(m presence.Member) {
	g.socket.Send(g.heartbeat(), []graniteknot.Address{m.PeerAddress})
	g.sendOwnedLimits(&m)
}

// relaySpacing is the minimum interval between two bundles that are sent early.
const relaySpacing = 50 * time.Millisecond

const (
	// membersTimeout bounds how long a starting gateway waits for the member records.
	membersTimeout = 250 * time.Millisecond
	// concurrentStartTimeout bounds how long a gateway on its first start waits for others that
	// start at the same time; concurrentStartQuiet is how long no new one must have appeared.
	concurrentStartTimeout = time.Second
	concurrentStartQuiet   = 600 * time.Millisecond
	concurrentStartPoll    = 20 * time.Millisecond
)

// onMembersLoaded is called once the member records were read, or reading them failed.
// unregistered is set if none of them is of this gateway, from an earlier run either.
func (g *Gateway) onMembersLoaded(unregistered bool) {
	g.unregistered = unregistered
	close(g.membersLoaded)
}

// awaitMembers waits until the members are known. Then a gateway of a large deployment can ask the
// readers instead of the store: a start of 149 gateways would otherwise make 450 store calls.
func (g *Gateway) awaitMembers(ctx context.Context) {
	timer := time.NewTimer(membersTimeout)
	defer timer.Stop()
	select {
	case <-g.membersLoaded:
		if g.unregistered {
			g.awaitConcurrentStarts(ctx)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitConcurrentStarts waits for gateways that start for the first time together with this one.
// Without the wait, none finds the records of all the others, and each reads from the store what a
// few readers can read for all. The first caller's request ends the wait.
func (g *Gateway) awaitConcurrentStarts(ctx context.Context) {
	began := g.Clock.Now()
	known, since := 0, began
	for ctx.Err() == nil {
		now := g.Clock.Now()
		if n := g.Members.Count(presence.RoleGateway, g.Config.Box); n != known {
			known, since = n, now
		}
		settling := known == 0 || now.Sub(since) < concurrentStartQuiet
		if g.usesReaders(now) || !settling || now.Sub(began) >= concurrentStartTimeout {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(concurrentStartPoll):
		case <-g.configNeeded:
			// A waiting request takes precedence over saving store calls.
			return
		}
	}
}

// discoverMembers learns from readers which processes exist; the readers read the store.
func (g *Gateway) discoverMembers(ctx context.Context) bool {
	return len(g.readersToAsk(g.Clock.Now())) > 0 && g.discovery.Sync(ctx)
}

// heartbeat returns the message that describes this gateway's state.
func (g *Gateway) heartbeat() presence.Message {
	self := g.self()
	m := presence.Message{Ready: g.ready(), Self: &self, Relay: g.relaying.Load(), QuarantineDigest: g.Quarantine.Digest(), StoreLost: g.storeLost.Load()}
	m.ConfigVersion = g.ownVersion()
	m.Evacuations = g.encodedEvacuations()
	m.Demand = g.demand.Told()
	return m
}

// ownVersion is the version of the configuration in force; 0 for none.
func (g *Gateway) ownVersion() uint64 {
	if tree, _ := g.Catalog.Current(g.Clock.Now()); tree != nil {
		return uint64(tree.Version)
	}
	return 0
}

// allPeers returns the datagram addresses of all other processes.
func (g *Gateway) allPeers() []graniteknot.Address {
	var to []graniteknot.Address
	for _, role := range []presence.Role{presence.RoleGateway, presence.RoleSidecar} {
		for _, m := range g.Members.Members(role, g.Config.Box) {
			to = append(to, m.PeerAddress)
		}
	}
	return to
}

// relayOnWake relays a bundle at once when relayWake is signaled.
func (g *Gateway) relayOnWake(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.relayWake:
			g.relayBundles()
			delay.For(ctx, relaySpacing)
		}
	}
}

// relayBundles sends what was received since the last bundle to the gateways of the zone, if this
// gateway is a relay.
func (g *Gateway) relayBundles() {
	bundles := g.bundler.Flush(g.Clock.Now())
	bundles = append(bundles, g.claimBundles(g.Clock.Now())...)
	if !g.relaying.Load() {
		return
	}
	to := g.Members.ZoneGateways(g.self())
	for i := range bundles {
		g.socket.Send(presence.Message{
			Ready: g.ready(), Relay: true, ConfigVersion: g.ownVersion(), StoreLost: g.storeLost.Load(), Bundle: &bundles[i], Evacuations: g.encodedEvacuations(),
		}, to)
	}
}

// receive handles a datagram.
func (g *Gateway) receive(m *presence.Message) {
	now := g.Clock.Now()
	g.receiveDemand(m, now)
	if m.Bundle != nil {
		g.receiveBundle(m, now)
		return
	}
	if m.QuarantineRecords != nil {
		g.receiveQuarantine(m, now)
		return
	}
	if m.Quota != nil {
		g.receiveQuota(m, now)
		return
	}
	if g.Members.ApplyMessage(m, now) {
		g.sendOwnedLimits(m.Self)
	}
	g.observeVersion(versionNotice{catalog.Version(m.ConfigVersion), m.Box, true}, now)
	g.receiveEvacuations(m)
	g.checkReaderLosses()
	g.bundler.Add(m, now)
	g.receiveClaims(m.Claims, m.Box, now)
	if m.Self != nil {
		g.fetchQuarantine(m)
	}
	if m.Load != nil {
		g.Fleet.Report(m.Load.Target, loadOf(m.Load, now))
	}
}

// receiveBundle handles a relay's bundle.
func (g *Gateway) receiveBundle(m *presence.Message, now time.Time) {
	g.Members.ApplyBundle(m, now)
	g.observeVersion(versionNotice{catalog.Version(m.ConfigVersion), m.Box, true}, now)
	g.observeVersion(versionNotice{catalog.Version(m.Bundle.ConfigVersion), m.Box, false}, now)
	g.receiveEvacuations(m)
	g.checkReaderLosses()
	g.receiveClaims(m.Bundle.Claims, m.Box, now)
	for i := range m.Bundle.Reports {
		r := &m.Bundle.Reports[i]
		d := m.Bundle.LoadReport(r)
		l := loadOf(&d, now.Add(-time.Duration(r.AgeMillis)*time.Millisecond))
		l.Relayed = true
		g.Fleet.Report(d.Target, l)
	}
	if len(m.Bundle.Repeated) > 0 {
		g.Fleet.RepeatReports(m.Bundle.Repeated, now.Add(-time.Duration(m.Bundle.RepeatedAgeMillis)*time.Millisecond))
	}
}

// loadOf returns the load of a replica that its sidecar measured at the given time.
func loadOf(d *presence.LoadReport, taken time.Time) fleet.Load {
	return fleet.Load{
		Running: d.Running, Waiting: d.Waiting, Pace: float64(d.Pace),
		Pass: time.Duration(d.PassMicros) * time.Microsecond, GroupDown: !d.GroupOpen, Taken: taken, Life: d.LifeMark,
		Forecast: fleet.Forecast{Skew: float64(d.Skew), Loading: d.Loading, Number: d.ForecastSequence},
	}
}
