package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/quota"
)

// The rate limit that a replica reports applies to all gateways together. So a gateway reports a
// limit that it hears of to all others, and one gateway, the limit's owner, grants permits to those
// that ask for them. Each gateway derives the owner from the live members; gateways that differ on
// these may ask two owners until they agree.

// maxUnansweredAsks is how many asks in a row an owner may leave unanswered before the next
// gateway is asked: its datagrams arrive, but those to it may not.
const maxUnansweredAsks = 3

// signalLimits signals, without blocking, that limit messages are waiting to be sent.
func (g *Gateway) signalLimits() {
	select {
	case g.limitsPending <- struct{}{}:
	default:
	}
}

// runLimitSender sends limit messages as soon as there are any.
func (g *Gateway) runLimitSender(ctx context.Context) {
	for {
		select {
		case <-g.limitsPending:
			g.sendLimits()
		case <-ctx.Done():
			return
		}
	}
}

// sendLimits sends the waiting limit reports and asks for permits.
func (g *Gateway) sendLimits() {
	now := g.Clock.Now()
	reports, asks := g.Fleet.DrainOutbox(now)
	if len(reports) > 0 {
		g.sendLimitReports(reports, g.Members.DirectGateways(g.Config.Box, now))
		if g.relaying.Load() {
			g.sendLimitReports(reports, g.Members.ZoneGateways(g.self()))
		}
	}
	for i := range asks {
		g.requestPermits(&asks[i], now)
	}
}

// maxLimitsPerDatagram is how many limits, of about 50 bytes each, one datagram holds.
const maxLimitsPerDatagram = 20

// sendLimitReports sends limit reports to other gateways.
func (g *Gateway) sendLimitReports(reports []quota.Notice, to []graniteknot.Address) {
	for len(reports) > 0 && len(to) > 0 {
		n := min(maxLimitsPerDatagram, len(reports))
		g.sendQuota(&quota.Message{Told: reports[:n]}, to)
		reports = reports[n:]
	}
}

func (g *Gateway) sendQuota(m *quota.Message, to []graniteknot.Address) {
	body, err := quota.Encode(m)
	if err != nil {
		g.Log.Warn("limits", slog.String("error", err.Error()))
		return
	}
	g.socket.Send(presence.Message{Ready: g.ready(), Quota: body}, to)
}

// requestPermits asks a limit's owner for permits.
func (g *Gateway) requestPermits(ask *fleet.PermitRequest, now time.Time) {
	life := ask.Key.Life()
	owner := g.limitOwner(life, ask.Unanswered/maxUnansweredAsks, now)
	g.countLimit("graniteknot_limit_asks_total", "sent", 1)
	if ask.Unanswered > 0 {
		g.countLimit("graniteknot_limit_asks_total", "unanswered", 1)
	}
	if owner == nil {
		grant := g.grantPermits(&ask.PermitRequest, g.Config.Box, now)
		g.applyGrant(&grant, now)
		return
	}
	g.sendQuota(&quota.Message{Asks: []quota.PermitRequest{ask.PermitRequest}}, []graniteknot.Address{owner.PeerAddress})
}

// limitOwner returns the gateway that owns a limit, or the next candidate after skip others; nil
// for this one.
func (g *Gateway) limitOwner(life catalog.Life, skip int, now time.Time) *presence.Member {
	list := g.Members.ReadyMembers(presence.RoleGateway, g.Config.Box, now)
	list = append(list, g.self())
	name := life.String()
	for ; skip%len(list) > 0; skip-- {
		list = append(list[:ownerIndex(list, name)], list[ownerIndex(list, name)+1:]...)
	}
	owner := &list[ownerIndex(list, name)]
	if owner.Box == g.Config.Box {
		return nil
	}
	return owner
}

// ownerIndex selects a limit's owner by rendezvous hashing, so that few limits change owners when
// a gateway joins or leaves.
func ownerIndex(list []presence.Member, life string) int {
	best, highest := 0, uint64(0)
	for i := range list {
		if sum := xxhash.Sum64String(string(list[i].Box) + "\x00" + life); sum >= highest {
			best, highest = i, sum
		}
	}
	return best
}

// grantPermits answers an ask for permits.
func (g *Gateway) grantPermits(ask *quota.PermitRequest, box graniteknot.BoxName, now time.Time) quota.Grant {
	for i := range ask.Told {
		g.applyLimitReport(&ask.Told[i], now)
	}
	life := ask.Key.Life()
	rate, limited, reports := g.Fleet.LimitOf(life, now)
	grant := quota.Grant{Key: ask.Key}
	if limited {
		grant = g.Limits.Grant(now, life, rate, box, ask.Want)
	}
	grant.Number, grant.Told = ask.Number, reports
	g.countLimit("graniteknot_limit_permits_total", "dealt", grant.Count)
	return grant
}

// applyGrant applies permits granted to this gateway.
func (g *Gateway) applyGrant(grant *quota.Grant, now time.Time) {
	if g.Fleet.ApplyGrant(grant, now) {
		g.countLimit("graniteknot_limit_permits_total", "granted", grant.Count)
	}
}

// receiveQuota handles another gateway's limit reports, grants and asks; a relay forwards new
// reports.
func (g *Gateway) receiveQuota(m *presence.Message, now time.Time) {
	message, err := quota.Decode(m.Quota)
	if err != nil {
		g.Log.Warn("limits", slog.String("peer", string(m.Box)), slog.String("error", err.Error()))
		return
	}
	var updated []quota.Notice
	for i := range message.Told {
		if g.applyLimitReport(&message.Told[i], now) {
			updated = append(updated, message.Told[i])
		}
	}
	if g.relaying.Load() {
		g.sendLimitReports(updated, g.Members.ZoneGateways(g.self()))
	}
	for i := range message.Grants {
		g.applyGrant(&message.Grants[i], now)
	}
	for i := range message.Asks {
		grant := g.grantPermits(&message.Asks[i], m.Box, now)
		if to, known := g.Members.PeerAddress(m.Box); known {
			g.sendQuota(&quota.Message{Grants: []quota.Grant{grant}}, []graniteknot.Address{to})
		}
	}
}

// applyLimitReport applies another gateway's report of a limit, and returns whether it is new.
func (g *Gateway) applyLimitReport(report *quota.Notice, now time.Time) bool {
	if !g.Fleet.ApplyNotice(report, now) {
		return false
	}
	g.Log.Info("replica told", slog.String("replica", report.Key.Life().String()), slog.String("subject", report.Subject.String()),
		slog.Bool("holds", report.Holds), slog.Float64("limit", float64(report.Rate)), eventlog.Milliseconds("age", time.Duration(report.Age)*time.Millisecond))
	return true
}

// sendOwnedLimits sends a new gateway the limits that this one owns, and those whose ownership
// passes to the new gateway, so that it knows them before its first request.
func (g *Gateway) sendOwnedLimits(m *presence.Member) {
	if m.Role != presence.RoleGateway {
		return
	}
	now := g.Clock.Now()
	var owned []quota.Notice
	for _, report := range g.Fleet.Limits(now) {
		owner := g.limitOwner(report.Key.Life(), 0, now)
		if owner != nil && owner.Box == m.Box {
			owner = g.limitOwner(report.Key.Life(), 1, now)
		}
		if owner == nil {
			owned = append(owned, report)
		}
	}
	g.sendLimitReports(owned, []graniteknot.Address{m.PeerAddress})
}

func (g *Gateway) countLimit(name, what string, n int) {
	if n > 0 {
		g.Meter.Add(name, n, meter.Label{Name: "what", Value: what})
	}
}
