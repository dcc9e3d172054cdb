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

// A replica that names a limit means all gateways together. So what one hears of it all are
// told, and one gateway, the limit's home, deals out permits to those that ask. All find
// the home from who lives; two that differ in that ask two homes until they agree.

// mostSilent is how many asks in a row a home may leave unanswered before the next gateway is
// asked: it is heard, but does not hear.
const mostSilent = 3

// limitsDue tells that something is to be told or asked; it never waits.
func (g *Gateway) limitsDue() {
	select {
	case g.due <- struct{}{}:
	default:
	}
}

// sendLimits tells and asks what there is, as soon as there is something.
func (g *Gateway) sendLimits(ctx context.Context) {
	for {
		select {
		case <-g.due:
			g.sendLimitsNow()
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) sendLimitsNow() {
	now := g.Clock.Now()
	told, asks := g.Fleet.DrainOutbox(now)
	if len(told) > 0 {
		g.tellLimits(told, g.Members.DirectGateways(g.Config.Box, now))
		if g.relaying.Load() {
			g.tellLimits(told, g.Members.ZoneGateways(g.self()))
		}
	}
	for i := range asks {
		g.askLimit(&asks[i], now)
	}
}

// mostLimitsTold is how many limits one datagram tells, of some 50 bytes each.
const mostLimitsTold = 20

// tellLimits tells other gateways of limits.
func (g *Gateway) tellLimits(told []quota.Told, to []graniteknot.Address) {
	for len(told) > 0 && len(to) > 0 {
		n := min(mostLimitsTold, len(told))
		g.sendQuota(&quota.Message{Told: told[:n]}, to)
		told = told[n:]
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

// askLimit asks a limit's home for permits.
func (g *Gateway) askLimit(a *fleet.PermitRequest, now time.Time) {
	life := a.Key.Life()
	home := g.limitHome(life, a.Unanswered/mostSilent, now)
	g.countLimit("graniteknot_limit_asks_total", "sent", 1)
	if a.Unanswered > 0 {
		g.countLimit("graniteknot_limit_asks_total", "unanswered", 1)
	}
	if home == nil {
		grant := g.dealLimit(&a.Ask, g.Config.Box, now)
		g.granted(&grant, now)
		return
	}
	g.sendQuota(&quota.Message{Asks: []quota.Ask{a.Ask}}, []graniteknot.Address{home.PeerAddress})
}

// limitHome returns the gateway that deals out a limit, the next ones after some; nil for this
// one.
func (g *Gateway) limitHome(life catalog.Life, skip int, now time.Time) *presence.Member {
	list := g.Members.ReadyMembers(presence.RoleGateway, g.Config.Box, now)
	list = append(list, g.self())
	name := life.String()
	for ; skip%len(list) > 0; skip-- {
		list = append(list[:first(list, name)], list[first(list, name)+1:]...)
	}
	home := &list[first(list, name)]
	if home.Box == g.Config.Box {
		return nil
	}
	return home
}

// first returns the index of the gateway that a limit falls to: few limits change their home as
// a gateway comes or goes.
func first(list []presence.Member, life string) int {
	best, most := 0, uint64(0)
	for i := range list {
		if sum := xxhash.Sum64String(string(list[i].Box) + "\x00" + life); sum >= most {
			best, most = i, sum
		}
	}
	return best
}

// dealLimit answers an ask.
func (g *Gateway) dealLimit(a *quota.Ask, box graniteknot.BoxName, now time.Time) quota.Grant {
	for i := range a.Told {
		g.tookLimit(&a.Told[i], now)
	}
	life := a.Key.Life()
	rate, limited, told := g.Fleet.LimitOf(life, now)
	grant := quota.Grant{Key: a.Key}
	if limited {
		grant = g.Limits.Deal(now, life, rate, box, a.Want)
	}
	grant.Number, grant.Told = a.Number, told
	g.countLimit("graniteknot_limit_permits_total", "dealt", grant.Count)
	return grant
}

func (g *Gateway) granted(grant *quota.Grant, now time.Time) {
	if g.Fleet.ApplyGrant(grant, now) {
		g.countLimit("graniteknot_limit_permits_total", "granted", grant.Count)
	}
}

// limitsHeard takes in what another gateway tells, asks or grants.
func (g *Gateway) limitsHeard(m *presence.Message, now time.Time) {
	message, err := quota.Decode(m.Quota)
	if err != nil {
		g.Log.Warn("limits", slog.String("peer", string(m.Box)), slog.String("error", err.Error()))
		return
	}
	var fresh []quota.Told
	for i := range message.Told {
		if g.tookLimit(&message.Told[i], now) {
			fresh = append(fresh, message.Told[i])
		}
	}
	if g.relaying.Load() {
		g.tellLimits(fresh, g.Members.ZoneGateways(g.self()))
	}
	for i := range message.Grants {
		g.granted(&message.Grants[i], now)
	}
	for i := range message.Asks {
		grant := g.dealLimit(&message.Asks[i], m.Box, now)
		if to, known := g.Members.PeerAddress(m.Box); known {
			g.sendQuota(&quota.Message{Grants: []quota.Grant{grant}}, []graniteknot.Address{to})
		}
	}
}

// tookLimit takes in what another gateway knows of a limit; it returns whether that is new.
func (g *Gateway) tookLimit(w *quota.Told, now time.Time) bool {
	if !g.Fleet.ApplyNotice(w, now) {
		return false
	}
	g.Log.Info("replica told", slog.String("replica", w.Key.Life().String()), slog.String("subject", w.Subject.String()),
		slog.Bool("holds", w.Holds), slog.Float64("limit", float64(w.Rate)), eventlog.Milliseconds("age", time.Duration(w.Age)*time.Millisecond))
	return true
}

// greetLimits tells a new gateway of the limits that this one is the home of, so that it knows
// them before its first request.
func (g *Gateway) greetLimits(m *presence.Member) {
	if m.Role != presence.RoleGateway {
		return
	}
	now := g.Clock.Now()
	var told []quota.Told
	for _, w := range g.Fleet.Limits(now) {
		home := g.limitHome(w.Key.Life(), 0, now)
		if home != nil && home.Box == m.Box {
			home = g.limitHome(w.Key.Life(), 1, now)
		}
		if home == nil {
			told = append(told, w)
		}
	}
	g.tellLimits(told, []graniteknot.Address{m.PeerAddress})
}

func (g *Gateway) countLimit(name, what string, n int) {
	if n > 0 {
		g.Meter.Add(name, n, meter.Label{Name: "what", Value: what})
	}
}
