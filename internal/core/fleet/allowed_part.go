package fleet

import (
	"slices"

	"graniteknot.org/go/internal/core/demand"
)

// A request that is restricted to some zones competes for the replicas there alone. Its capacity and
// its waits are those of these replicas. The demand is known by urgency and not by zone, so the part of
// it that goes to them is taken to be their part of the capacity.

// allowedPart is the part of a group that a request may be sent to.
type allowedPart struct {
	// engines counts the usable engines; slow ones count less.
	engines float64
	// ownRequests and allRequests count the requests there, those of this process and those of all.
	ownRequests, allRequests int
}

func (p *allowedPart) add(engines float64, own, all int) {
	p.engines += engines
	p.ownRequests += own
	p.allRequests += all
}

// allowedCapacity returns how many requests the engines of the group may have at once that the
// request may be sent to.
func (s *groupState) allowedCapacity() float64 { return s.model.maxRequests() * s.allowed.engines }

// partOf returns the allowed part of the groups' capacity.
func partOf(states []groupState) float64 {
	allowed, all := 0.0, 0.0
	for i := range states {
		allowed += states[i].allowedCapacity()
		all += states[i].capacity()
	}
	if all <= 0 {
		return 0
	}
	return allowed / all
}

// allowedPartOf returns the part of the service's capacity that a request may use; 1 for one that is
// not restricted. The caller holds the lock.
func (t *Table) allowedPartOf(q *Query) float64 {
	switch {
	case !q.competesIn().Restricted:
		return 1
	case q.Service.Engine == nil:
		return t.allowedReplicas(q)
	}
	return partOf(t.groupStates(q))
}

// allowedReplicas returns the part of the service's replicas that a request may be sent to. The caller
// holds the lock.
func (t *Table) allowedReplicas(q *Query) float64 {
	allowed, all := 0, 0
	for _, x := range t.services[q.Service.Name] {
		if x.excluded(q.Now) {
			continue
		}
		all++
		if q.competesIn().allows(x) {
			allowed++
		}
	}
	return float64(allowed) / float64(max(1, all))
}

// partOfDemand returns the part of the demand that goes to a part of the capacity.
func partOfDemand(totals demand.Totals, part float64) demand.Totals {
	totals.Ranks = slices.Clone(totals.Ranks)
	for i := range totals.Ranks {
		r := &totals.Ranks[i]
		r.Arrivals *= part
		r.Queued = int(part * float64(r.Queued))
		r.Running = int(part * float64(r.Running))
	}
	return totals
}

// weightOf returns as how many requests a queued one counts that competes for the replicas of some
// zones, which are a part of the capacity: 1 if it waits for one of these too, and the part if it may
// go to any.
func (z *ZoneRestriction) weightOf(queued *Query, part float64) float64 {
	switch {
	case !z.Restricted:
		return 1
	case !queued.Allowed.Restricted:
		return part
	case slices.ContainsFunc(queued.Allowed.Zones, z.contains):
		return 1
	}
	return 0
}

// allowsAny reports whether one of a group's replicas is allowed.
func (z *ZoneRestriction) allowsAny(g *group) bool { return slices.ContainsFunc(g.targets, z.allows) }

// zoneCompetition is the competition for the replicas that some requests are allowed to.
type zoneCompetition struct {
	allowed ZoneRestriction
	// part is the allowed part of the capacity; admission is nil if the demand is not known.
	part      float64
	admission *admission
	// inTime and late count the queued requests that are served first.
	inTime, late float64
}

// newCompetition returns the competition for the replicas that a request is allowed to. The caller holds the
// lock.
func (t *Table) newCompetition(q *Query) *zoneCompetition {
	states := t.groupStates(q)
	l := &zoneCompetition{allowed: *q.competesIn(), part: 1, admission: t.admissionOf(q, states)}
	if l.allowed.Restricted {
		l.part = partOf(states)
	}
	return l
}

// count counts a queued request that is served first.
func (l *zoneCompetition) count(x *waiter, order serviceOrder) {
	weight := l.allowed.weightOf(x.query, l.part)
	if order.servedAsInTime(x) {
		l.inTime += weight
	} else {
		l.late += weight
	}
}

// competitionOf returns the zoneCompetition of requests that are allowed to some replicas; it adds a new one if there is
// none, for the service of q. Queued requests may hold the service of an earlier configuration. The
// caller holds the lock.
func (t *Table) competitionOf(competitions *[]*zoneCompetition, q Query, allowed ZoneRestriction) *zoneCompetition {
	for _, l := range *competitions {
		if l.allowed.Restricted == allowed.Restricted && slices.Equal(l.allowed.Zones, allowed.Zones) {
			return l
		}
	}
	q.Allowed = allowed
	l := t.newCompetition(&q)
	*competitions = append(*competitions, l)
	return l
}

// recoveringFor is recovering for the groups that a request is allowed to. The caller holds the lock.
func (t *Table) recoveringFor(q *Query) bool {
	if !q.competesIn().Restricted {
		return t.recovering(q.Service.Name, q.Now)
	}
	return slices.ContainsFunc(t.groups[q.Service.Name], func(g *group) bool {
		return g.justUp(q.Now) && q.Allowed.allowsAny(g)
	})
}

// allDownFor is allDown for the groups that a request is allowed to. The caller holds the lock.
func (t *Table) allDownFor(q *Query) bool {
	if !q.competesIn().Restricted {
		return t.allDown(q.Service.Name, q.Now)
	}
	return !slices.ContainsFunc(t.groups[q.Service.Name], func(g *group) bool {
		return (g.downSince.IsZero() || q.Now.Sub(g.downSince) < maxDownWait) && q.Allowed.allowsAny(g)
	})
}
