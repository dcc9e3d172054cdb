package fleet

import (
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Query describes the request that a replica is chosen for.
type Query struct {
	Service *catalog.Service
	Size    catalog.Size
	Urgency catalog.Urgency
	// Account is the client account; empty for none.
	Account graniteknot.Account
	// Returned reports whether the caller was refused before and returned when it was told to.
	Returned bool
	// Promised reports whether it was also promised room then: it goes before newcomers that are in
	// time.
	Promised bool
	// MaxGap is the longest useful pause between events; 0 is unbounded.
	MaxGap time.Duration
	// Tried replicas are excluded.
	Tried []catalog.Life
	// Zone is preferred among otherwise equal replicas.
	Zone graniteknot.AvailabilityZone
	// Allowed restricts the replicas to those of some zones.
	Allowed ZoneRestriction
	Now     time.Time
	// RequestedAt is when the choice was first requested.
	RequestedAt time.Time
	// late marks a request that can no longer be in time.
	late bool
	// usableShare is the share of a group's slots that the request's account may use; 0 is all.
	usableShare float64
}

// Pick chooses a replica and takes a slot there; it returns nil if there is none.
func (t *Table) Pick(q *Query) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wantPermits(q.Service.Name, q.Now)
	best := t.pickPlain(q)
	if best == nil {
		return nil
	}
	return t.newLease(best, q)
}

// pickPlain returns the best usable replica, or if there is none, the best of those
// that aren't excluded. The caller holds the lock.
func (t *Table) pickPlain(q *Query) *target {
	eligible := func(x *target) bool {
		return x.hasPermit(q.Now) && q.Allowed.allows(x) && !slices.Contains(q.Tried, x.replica.Life())
	}
	if best := t.bestWhere(q, func(x *target) bool { return x.usable(q.Now) && eligible(x) }); best != nil {
		return best
	}
	return t.bestWhere(q, func(x *target) bool { return !x.excluded(q.Now) && eligible(x) })
}

func (t *Table) bestWhere(q *Query, eligible func(*target) bool) *target {
	var targets []*target
	for _, x := range t.services[q.Service.Name] {
		if eligible(x) {
			targets = append(targets, x)
		}
	}
	return leastCost(targets, q, t.groupStates(q))
}

// leastCost returns the target with the lowest cost; nil if there is none.
func leastCost(targets []*target, q *Query, states []groupState) *target {
	var best *target
	least := 0.0
	for _, x := range targets {
		cost := x.cost(q, x.groupStateIn(states)) + jitter()
		if x.limited() {
			cost -= permitDiscount
		}
		if best == nil || cost < least {
			best, least = x, cost
		}
	}
	return best
}

// permitDiscount is subtracted from the cost of a replica that this process holds a
// permit for: permits expire soon, so the replica wins among equals.
const permitDiscount = 0.01

func (t *Table) newLease(x *target, q *Query) *Lease {
	l := &Lease{Replica: x.replica, Inputs: t.inputsOf(x, q), table: t, target: x, size: q.Size, urgency: q.Urgency, account: q.Account, late: q.late, use: t.countRequest(q), sent: q.Now, engine: q.Service.Engine, maxGap: q.MaxGap}
	if x.failures >= ejectAfter || x.life != nil && x.life.unconfirmed {
		l.probe, x.probing = true, true
	}
	if x.unreachable {
		l.silenceProbe, x.probedAt = true, q.Now
	}
	if x.limited() && x.life.limit.permits.Take(q.Now) {
		l.permitAt, l.Inputs.Permit = q.Now, true
	}
	x.own[l] = struct{}{}
	if q.Service.Engine != nil {
		x.group.prefill.tokens -= float64(q.Size.Prompt)
	}
	return l
}

// inputsOf returns the inputs of a choice.
func (t *Table) inputsOf(x *target, q *Query) Inputs {
	in := Inputs{Own: len(x.own), Others: x.otherRequests(q.Now), Pass: x.load.Pass, Probe: x.failures >= ejectAfter}
	if !x.load.Taken.IsZero() {
		in.ReportAge = q.Now.Sub(x.load.Taken)
	}
	if !q.RequestedAt.IsZero() {
		in.Waited = q.Now.Sub(q.RequestedAt)
	}
	if q.Service.Engine != nil {
		s := x.group.state(q)
		in.Reserved = t.reserved(q.Service, q.Urgency, q.Now)
		in.Capacity, in.Skew = int(s.model.maxRequests()), s.load.forecast.Skew
	}
	return in
}

// groupStateIn returns the state of the target's group; nil if the list has none.
func (t *target) groupStateIn(states []groupState) *groupState {
	for i := range states {
		if states[i].group == t.group {
			return &states[i]
		}
	}
	return nil
}

// cost ranks replicas for a request; the lowest wins. Between groups it evens out
// pass times: requests to a group whose work takes twice as long count twice.
func (t *target) cost(q *Query, s *groupState) float64 {
	busy := float64(len(t.own) + t.otherRequests(q.Now))
	if q.Service.Engine != nil {
		work := busy + 1 + float64(t.prefillTokens())/float64(max(1, q.Service.Engine.Chunk))
		return work * t.relativePace(s.load, q.Now) * s.model.workFactor
	}
	zone := 0.0
	if t.replica.Zone != q.Zone {
		zone = 0.2
	}
	return (busy+1)*max(t.latency.Seconds(), 0.01) + zone*0.01
}
