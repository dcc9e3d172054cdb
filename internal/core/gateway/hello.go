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

// hello tells the other gateways that this one lives: a relay tells all processes now
// and then, so that they know where to tell what it passes on.
func (g *Gateway) hello() {
	now := g.Clock.Now()
	relaying := g.Members.UpdateRelaying(g.self(), !g.leaving.Load(), now)
	if g.relaying.Swap(relaying) != relaying {
		g.Log.Info("relay", slog.Bool("relaying", relaying))
	}
	to := g.Members.DirectGateways(g.Config.Box, now)
	if relaying && now.Sub(g.relayed) >= presence.RelayAnnounceInterval {
		g.relayed = now
		to = g.everybody()
	}
	g.socket.Send(g.greeting(), to)
	g.Fleet.SetGateways(len(g.Members.ReadyMembers(presence.RoleGateway, g.Config.Box, now)) + 1)
}

// greet tells a new member that this gateway lives.
func (g *Gateway) greet(m presence.Member) {
	g.socket.Send(g.greeting(), []graniteknot.Address{m.PeerAddress})
	g.greetLimits(&m)
}

// relaySpacing is the least time between two bundles that are sent early.
const relaySpacing = 50 * time.Millisecond

const (
	// meetTime bounds how long a gateway that starts waits for the members' records.
	meetTime = 250 * time.Millisecond
	// othersTime bounds how long a gateway that never ran before waits for others that start
	// with it, othersStill is how long no more of them must have come.
	othersTime  = time.Second
	othersStill = 600 * time.Millisecond
	othersLook  = 20 * time.Millisecond
)

// membersMet notes that the members' records were read, or can't be.
func (g *Gateway) membersMet(unknown bool) {
	g.unknown = unknown
	close(g.met)
}

// meet waits until the members are known. Then a gateway of a large deployment need not
// read the store's other records itself: at a start of 149 that is 450 calls.
func (g *Gateway) meet(ctx context.Context) {
	timer := time.NewTimer(meetTime)
	defer timer.Stop()
	select {
	case <-g.met:
		if g.unknown {
			g.awaitOthers(ctx)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitOthers waits for gateways that start for the first time together with this one: none
// finds records of all the others, and each would read all that one can read for all. The first
// request ends it.
func (g *Gateway) awaitOthers(ctx context.Context) {
	began := g.Clock.Now()
	known, since := 0, began
	for ctx.Err() == nil {
		now := g.Clock.Now()
		if n := len(g.Members.Members(presence.RoleGateway, g.Config.Box)); n != known {
			known, since = n, now
		}
		alone := known == 0 || now.Sub(since) < othersStill
		if g.many(now) || !alone || now.Sub(began) >= othersTime {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(othersLook):
		case <-g.wanted:
			// A request waits: it is not held up for the sake of calls.
			return
		}
	}
}

// askCensus learns from others who is known; the readers read the store.
func (g *Gateway) askCensus(ctx context.Context) bool {
	return len(g.readers(g.Clock.Now())) > 0 && g.census.Sync(ctx)
}

// greeting is what this gateway tells of itself.
func (g *Gateway) greeting() presence.Message {
	self := g.self()
	hello := presence.Message{Ready: g.ready(), Self: &self, Relay: g.relaying.Load(), QuarantineDigest: g.Quarantine.Digest(), StoreLost: g.lost.Load()}
	hello.ConfigVersion = g.version()
	return hello
}

// version is that of the configuration in force; 0 for none.
func (g *Gateway) version() uint64 {
	if tree, _ := g.Catalog.Current(g.Clock.Now()); tree != nil {
		return uint64(tree.Version)
	}
	return 0
}

// everybody returns where all other processes take datagrams.
func (g *Gateway) everybody() []graniteknot.Address {
	var to []graniteknot.Address
	for _, role := range []presence.Role{presence.RoleGateway, presence.RoleSidecar} {
		for _, m := range g.Members.Members(role, g.Config.Box) {
			to = append(to, m.PeerAddress)
		}
	}
	return to
}

// relayEarly passes on at once what the gateways of the zone have to know soon.
func (g *Gateway) relayEarly(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.relayWake:
			g.relay()
			delay.For(ctx, relaySpacing)
		}
	}
}

// relay passes on what was heard of late, if this gateway is a relay.
func (g *Gateway) relay() {
	bundles := g.bundler.Flush(g.Clock.Now())
	if !g.relaying.Load() {
		return
	}
	to := g.Members.ZoneGateways(g.self())
	for i := range bundles {
		g.socket.Send(presence.Message{Ready: g.ready(), Relay: true, ConfigVersion: g.version(), StoreLost: g.lost.Load(), Bundle: &bundles[i]}, to)
	}
}

// heard takes a datagram.
func (g *Gateway) heard(m *presence.Message) {
	now := g.Clock.Now()
	if m.Bundle != nil {
		g.told(m, now)
		return
	}
	if m.QuarantineRecords != nil {
		g.quarantineHeard(m, now)
		return
	}
	if m.Quota != nil {
		g.limitsHeard(m, now)
		return
	}
	if g.Members.ApplyMessage(m, now) {
		g.greetLimits(m.Self)
	}
	g.noteVersion(versionNotice{catalog.Version(m.ConfigVersion), m.Box, true}, now)
	g.heardOfReaders()
	g.bundler.Add(m, now)
	if m.Self != nil {
		g.compareQuarantine(m)
	}
	if m.Load != nil {
		g.Fleet.Report(m.Load.Target, loadOf(m.Load, now))
	}
}

// told takes what a relay passes on.
func (g *Gateway) told(m *presence.Message, now time.Time) {
	g.Members.ApplyBundle(m, now)
	g.noteVersion(versionNotice{catalog.Version(m.ConfigVersion), m.Box, true}, now)
	g.noteVersion(versionNotice{catalog.Version(m.Bundle.ConfigVersion), m.Box, false}, now)
	g.heardOfReaders()
	for i := range m.Bundle.Reports {
		r := &m.Bundle.Reports[i]
		d := m.Bundle.LoadReport(r)
		l := loadOf(&d, now.Add(-time.Duration(r.AgeMillis)*time.Millisecond))
		l.Relayed = true
		g.Fleet.Report(d.Target, l)
	}
}

// loadOf is what a sidecar told of its replica at a time.
func loadOf(d *presence.LoadReport, taken time.Time) fleet.Load {
	return fleet.Load{
		Running: d.Running, Waiting: d.Waiting, Pace: float64(d.Pace),
		Pass: time.Duration(d.PassMicros) * time.Microsecond, GroupDown: !d.GroupOpen, Taken: taken, Life: d.LifeMark,
		Forecast: fleet.Forecast{Skew: float64(d.Skew), Loading: d.Loading, Number: d.ForecastSequence},
	}
}
