package fleet

import "graniteknot.org/go/internal/core/demand"

// Outlook is the capacity of a service and the demand for it, over all gateways. For a request that
// is restricted to some zones it is that of the replicas there, and the part of the demand that is
// expected to go to them.
type Outlook struct {
	// Throughput is how many requests a second the service's engines answer; 0 if none run.
	Throughput float64
	// Share is this process's share of the demand.
	Share float64
	// Ranks is the demand by urgency, the most urgent first.
	Ranks []demand.Rank
}

// Outlook returns the outlook of a service. If the demand of other gateways is unknown, each is
// assumed to have the same demand as this one.
func (t *Table) Outlook(q *Query) Outlook {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Outlook
	states := t.groupStates(q)
	for i := range states {
		out.Throughput += states[i].throughput(q)
	}
	if totals := t.demandFor(q.Service, q.Now); totals.Known {
		if q.competesIn().Restricted {
			totals = partOfDemand(totals, partOf(states))
		}
		out.Share, out.Ranks = totals.OwnShare, totals.Ranks
		return out
	}
	gateways := max(1, t.gateways)
	out.Share = 1 / float64(gateways)
	out.Ranks, _ = t.ownDemand(q.Service.Name, q.Now)
	for i := range out.Ranks {
		r := &out.Ranks[i]
		r.Arrivals *= float64(gateways)
		r.Queued *= gateways
		r.Running *= gateways
	}
	if q.competesIn().Restricted {
		out.Ranks = partOfDemand(demand.Totals{Ranks: out.Ranks}, partOf(states)).Ranks
	}
	return out
}

// UpTo returns how many requests of at most an urgency arrive in a second and are queued. A lower
// number is more urgent.
func (o *Outlook) UpTo(q *Query) (arrivals float64, queued int) {
	for _, r := range o.Ranks {
		if r.Urgency <= q.Urgency {
			arrivals += r.Arrivals
			queued += r.Queued
		}
	}
	return arrivals, queued
}
