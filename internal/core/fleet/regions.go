package fleet

import (
	"slices"

	graniteknot "graniteknot.org/go"
)

// ZoneRestriction restricts a request to the replicas of some zones. The zero value allows all.
type ZoneRestriction struct {
	// Restricted reports whether only replicas in Zones are allowed.
	Restricted bool
	Zones      []graniteknot.AvailabilityZone
}

// allows reports whether the request may be sent to a replica.
func (z *ZoneRestriction) allows(x *target) bool {
	return !z.Restricted || z.contains(x.replica.Zone)
}

func (z *ZoneRestriction) contains(zone graniteknot.AvailabilityZone) bool {
	return slices.Contains(z.Zones, zone)
}

// competesIn returns the zones whose replicas a request competes for. The waits and the capacity of
// requests to services without coordinated admission are those of all replicas.
func (q *Query) competesIn() *ZoneRestriction {
	if !q.Service.Coordinated {
		return &ZoneRestriction{}
	}
	return &q.Allowed
}

// NoneAllowed reports whether a service has replicas that get requests, but none in the zones that
// a request is restricted to.
func (t *Table) NoneAllowed(q *Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return q.Allowed.Restricted && !t.allClosed(q.Service.Name) && t.allClosedTo(q)
}

// allClosedTo reports whether no replica of the service gets the request. The caller holds the lock.
func (t *Table) allClosedTo(q *Query) bool {
	return !slices.ContainsFunc(t.services[q.Service.Name], func(x *target) bool { return !x.closed() && q.Allowed.allows(x) })
}
