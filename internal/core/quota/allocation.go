package quota

import (
	"math"
	"time"
)

const (
	// maxHeld is the most permits that a process holds of one limit.
	maxHeld = 256
	// grantTimeout is how long a process waits for the owner's grant.
	grantTimeout = 300 * time.Millisecond
	// typicalLatency is the usual time from a request to the owner's grant, and so the time until
	// a process that has just asked may have permits.
	typicalLatency = 30 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential decay of measured demand.
	demandTimeConstant = time.Second
)

// Allocation is the part of a limit that one process holds. The zero value has no limit. It is
// not safe for concurrent use.
type Allocation struct {
	limited bool
	rate    Rate
	held    []permit
	// requestNumber is the number of the last request for permits. requestedAt is when it was
	// sent, zero once it was answered.
	requestNumber uint64
	requestedAt   time.Time
	// unanswered counts the consecutive requests without a grant.
	unanswered int
	// nextRequest is the earliest time of the next request, requesters how many processes ask.
	nextRequest time.Time
	requesters  int
	// demand is the exponentially decayed count of requests that could have used a permit, as
	// of demandAt.
	demand   float64
	demandAt time.Time
}

// permit allows one request within a span of time.
type permit struct{ from, until time.Time }

// Limited reports whether there is a limit.
func (a *Allocation) Limited() bool { return a.limited }

// Rate returns the limit.
func (a *Allocation) Rate() Rate { return a.rate }

// Held returns the number of permits that are or will become valid.
func (a *Allocation) Held() int { return len(a.held) }

// Requesters returns how many processes ask for permits of the limit, including this one.
func (a *Allocation) Requesters() int { return max(1, a.requesters) }

// SetLimit sets the limit. A lower limit than before voids the permits held.
func (a *Allocation) SetLimit(rate Rate) {
	if a.limited && rate < a.rate {
		a.held = nil
	}
	if a.limited && rate > a.rate {
		a.nextRequest = time.Time{}
	}
	a.limited, a.rate = true, rate
}

// ClearLimit removes the limit and all permits.
func (a *Allocation) ClearLimit() {
	*a = Allocation{requestNumber: a.requestNumber}
}

// Ready reports whether a permit is valid now.
func (a *Allocation) Ready(now time.Time) bool {
	a.dropExpired(now)
	return len(a.held) > 0 && !a.held[0].from.After(now)
}

// Take uses a permit. It returns false if none is valid now.
func (a *Allocation) Take(now time.Time) bool {
	if !a.Ready(now) {
		return false
	}
	a.held = a.held[1:]
	return true
}

// RecordDemand counts a request that could have used a permit.
func (a *Allocation) RecordDemand(now time.Time) {
	a.demand, a.demandAt = a.decayedDemand(now)+1, now
}

func (a *Allocation) decayedDemand(now time.Time) float64 {
	if a.demandAt.IsZero() {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandTimeConstant.Seconds())
}

// MayRequest reports whether the owner may be asked for permits now.
func (a *Allocation) MayRequest(now time.Time) bool {
	return a.limited && !now.Before(a.nextRequest) && !a.awaitingGrant(now)
}

// PermitsNeeded returns how many permits to ask for now; none if it is 0 or less.
func (a *Allocation) PermitsNeeded(now time.Time) int {
	demand := a.decayedDemand(now)
	if !a.MayRequest(now) || demand < 0.5 {
		return 0
	}
	a.dropExpired(now)
	needed := math.Ceil(demand / demandTimeConstant.Seconds() * (a.rate.lookahead() + typicalLatency).Seconds())
	return min(int(needed), maxHeld) - len(a.held)
}

// awaitingGrant reports whether the grant for the last request may still arrive in time.
func (a *Allocation) awaitingGrant(now time.Time) bool {
	return !a.requestedAt.IsZero() && now.Sub(a.requestedAt) < grantTimeout
}

// StartRequest records a request for permits. It returns its number, and how many consecutive
// requests before it had no grant.
func (a *Allocation) StartRequest(now time.Time) (number uint64, unanswered int) {
	if !a.requestedAt.IsZero() {
		a.unanswered++
	}
	a.requestNumber++
	a.requestedAt = now
	return a.requestNumber, a.unanswered
}

// ApplyGrant adds the permits of a grant and reports whether it was accepted. Only the first
// grant for the last request counts, and only before it times out: duplicate or late messages
// would add more permits than the owner granted.
func (a *Allocation) ApplyGrant(g *Grant, now time.Time) bool {
	if !a.limited || a.requestedAt.IsZero() || g.Number != a.requestNumber || !a.awaitingGrant(now) {
		return false
	}
	a.requestedAt, a.unanswered, a.requesters = time.Time{}, 0, g.Askers
	a.nextRequest = now.Add(milliseconds(g.Again))
	from := now.Add(milliseconds(g.From))
	for range min(g.Count, maxHeld-len(a.held)) {
		a.held = append(a.held, permit{from, from.Add(a.rate.validity())})
		from = from.Add(milliseconds(g.Every))
	}
	return true
}

// NextStart returns when the next permit that is held but not valid yet becomes valid; false if
// there is none.
func (a *Allocation) NextStart(now time.Time) (time.Time, bool) {
	for _, p := range a.held {
		if p.from.After(now) {
			return p.from, true
		}
	}
	return time.Time{}, false
}

// NextPermit estimates when this process has its next permit.
func (a *Allocation) NextPermit(now time.Time) time.Time {
	a.dropExpired(now)
	if len(a.held) > 0 {
		return latest(now, a.held[0].from)
	}
	if a.GrantImminent(now) {
		return now.Add(typicalLatency)
	}
	return latest(now, a.nextRequest).Add(a.rate.lookahead())
}

// GrantImminent reports whether the owner's grant, which tells when there is a permit, is
// expected any moment.
func (a *Allocation) GrantImminent(now time.Time) bool {
	return a.awaitingGrant(now) && a.unanswered == 0 && now.Sub(a.requestedAt) < 2*typicalLatency
}

// AvailableBy returns the number of permits that are valid now or become valid by a time.
func (a *Allocation) AvailableBy(by, now time.Time) int {
	a.dropExpired(now)
	n := 0
	for _, p := range a.held {
		if !p.from.After(by) {
			n++
		}
	}
	return n
}

// PermitsPerSecond returns the rate of permits that this process may expect.
func (a *Allocation) PermitsPerSecond() float64 {
	return float64(time.Second) / float64(a.rate.interval()) / float64(a.Requesters())
}

// dropExpired removes the permits that have expired.
func (a *Allocation) dropExpired(now time.Time) {
	n := 0
	for n < len(a.held) && !now.Before(a.held[n].until) {
		n++
	}
	a.held = a.held[n:]
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
