package gateway

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/core/returns"
)

// A caller that is refused by a coordinated service is told when to return. If there will be room
// then, it is promised to be served before newcomers, at any gateway. The promises travel with heartbeats.

const (
	// returnShare is the share of the time that callers have left for which they wait at most.
	returnShare = 1.0 / 3
	// responseMargin is subtracted from the time left, for the way of the refusal to the caller.
	responseMargin = 25 * time.Millisecond
	// maxClaimBytes bounds the claims in a message, so that a heartbeat with a summary of the demand
	// fits into a packet; 64 claims take about 900 bytes.
	maxClaimBytes = 900
	// minClaimBytes is the bound for a heartbeat that lists many evacuated zones.
	minClaimBytes = 200
)

// promise is what the gateway knows of the return of an exchange's caller. The zero value is for a
// service without coordinated admission.
type promise struct {
	coordinated bool
	arrival     returns.Arrival
	// told is the delay that the caller was told; 0 if it was not promised a return.
	told time.Duration
	// room reports whether it was promised room then.
	room bool
}

// attrs returns the fields of the request's log line.
func (p *promise) attrs() []slog.Attr {
	if !p.coordinated {
		return nil
	}
	out := []slog.Attr{slog.String("arrival", p.arrival.String())}
	if p.told > 0 {
		out = append(out, eventlog.Milliseconds("told", p.told), slog.Bool("room", p.room))
	}
	return out
}

// claimIdentity returns the identity that the request has on each try.
func (x *exchange) claimIdentity() returns.Identity {
	account := graniteknot.Account("")
	if x.job.Account != nil {
		account = x.job.Account.Name
	}
	return returns.IdentityOf(quarantine.KeyOf(x.request.Path, account, x.request.Body))
}

// redeemClaim finds out whether the caller returned as told.
func (x *exchange) redeemClaim() {
	g, s := x.gateway, x.job.Service
	x.promise.coordinated = s.Coordinated
	if !s.Coordinated || g.Claims.Len() == 0 {
		return
	}
	x.promise.arrival = g.Claims.Redeem(x.claimIdentity(), returns.SubjectOf(s.Name, x.job.Urgency()), g.Clock.Now())
	switch x.promise.arrival {
	case returns.ArrivalAsTold, returns.ArrivalPromised:
		x.job.Returned, x.job.Promised = true, x.promise.arrival == returns.ArrivalPromised
		x.countReturn("graniteknot_returns_as_told_total")
		if x.job.Promised {
			x.countReturn("graniteknot_returns_preferred_total")
		}
	case returns.ArrivalEarly:
		x.countReturn("graniteknot_returns_early_total")
	case returns.ArrivalNew:
	}
}

func (x *exchange) countReturn(name string) {
	x.gateway.Meter.Count(name, meter.Label{Name: "service", Value: string(x.job.Service.Name)})
}

// retryDelay returns the retry delay of a request that was not run. A caller of a coordinated
// service without capacity is promised a return.
func (x *exchange) retryDelay(result *forward.Result) time.Duration {
	if !x.promise.coordinated || result.Reason != forward.ReasonBusy {
		return retryAfter(result)
	}
	return x.promiseReturn(result)
}

// promiseReturn chooses and records when the caller is told to return.
func (x *exchange) promiseReturn(result *forward.Result) time.Duration {
	g, job := x.gateway, x.job
	now := g.Clock.Now()
	limit := x.longestReturn(now)
	q := &fleet.Query{Service: job.Service, Size: job.Size, Urgency: job.Urgency(), MaxGap: job.Route.GapAim, Now: now, RequestedAt: now, Allowed: x.allowedZones()}
	outlook := g.Fleet.Outlook(q)
	schedule := returns.Schedule{Throughput: outlook.Throughput, Share: outlook.Share}
	schedule.Arrivals, schedule.Queued = outlook.UpTo(q)
	choice, ok := g.Claims.Promise(x.claimIdentity(), returns.SubjectOf(job.Service.Name, q.Urgency), now, func(b *returns.Bookings) (returns.Choice, bool) {
		schedule.Bookings = b
		return schedule.Choose(limit, rand.Float64)
	})
	if !ok {
		// Without a promise too, no time is told for which the caller does not wait.
		return max(min(retryAfter(result), limit), time.Millisecond)
	}
	x.promise.told, x.promise.room = choice.Delay, choice.Room
	x.countReturn("graniteknot_returns_promised_total")
	return choice.Delay
}

// allowedZones returns the zones that the request is restricted to.
func (x *exchange) allowedZones() fleet.ZoneRestriction {
	return x.gateway.Forwarder.AllowedZones(x.job)
}

// longestReturn returns the longest retry delay that the caller follows.
func (x *exchange) longestReturn(now time.Time) time.Duration {
	deadline := x.request.Deadline
	if deadline.IsZero() {
		deadline = x.job.RespondBy
	}
	if deadline.IsZero() {
		return returns.Horizon
	}
	return time.Duration(returnShare * float64(deadline.Sub(now)-responseMargin))
}

// sendWithClaims sends a heartbeat with the claims that are due. Where it goes to all processes,
// only those that heartbeats usually go to get the claims: the others get them by relays.
func (g *Gateway) sendWithClaims(m presence.Message, to []graniteknot.Address, now time.Time) {
	claims := returns.Encode(g.Claims.ToSend(now), max(minClaimBytes, maxClaimBytes-len(m.Evacuations)), now)
	if claims == nil {
		g.socket.Send(m, to)
		return
	}
	direct := g.Members.DirectGateways(g.Config.Box, now)
	others := slices.DeleteFunc(slices.Clone(to), func(a graniteknot.Address) bool { return slices.Contains(direct, a) })
	g.socket.Send(m, others)
	m.Claims = claims
	g.socket.Send(m, direct)
}

// claimBundles returns the bundle of the claims that a relay forwards; none if there are none.
func (g *Gateway) claimBundles(now time.Time) []presence.Bundle {
	claims := returns.Encode(g.Claims.ToRelay(now), maxClaimBytes, now)
	if claims == nil {
		return nil
	}
	return []presence.Bundle{{Claims: claims}}
}

// receiveClaims adds the claims of another gateway's message.
func (g *Gateway) receiveClaims(b []byte, from graniteknot.BoxName, now time.Time) {
	if len(b) == 0 {
		return
	}
	claims, err := returns.Decode(b, now)
	if err != nil {
		g.Log.Warn("malformed claims", slog.String("peer", string(from)), slog.String("error", err.Error()))
		return
	}
	g.Claims.Merge(claims, now)
}
