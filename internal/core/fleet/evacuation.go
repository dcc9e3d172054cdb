package fleet

import (
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
)

// SetEvacuated sets the zones whose replicas get no further requests. Requests in flight there go
// on, and the ranks of a lock-step group go on making passes. Queued requests that no other
// replica can serve are refused.
func (t *Table) SetEvacuated(zones []graniteknot.AvailabilityZone, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuatedZones = zones
	for _, x := range t.targets {
		x.evacuated = t.zoneEvacuated(x.replica.Zone)
	}
	for s := range t.queues {
		if t.allClosed(s) {
			t.rejectAll(s)
			continue
		}
		t.serveQueue(s, now)
	}
}

func (t *Table) zoneEvacuated(z graniteknot.AvailabilityZone) bool {
	return slices.Contains(t.evacuatedZones, z)
}

// allClosed reports whether no replica of a service gets requests. The caller holds the lock.
func (t *Table) allClosed(s graniteknot.Service) bool {
	return !slices.ContainsFunc(t.services[s], func(x *target) bool { return !x.closed() })
}

// rejectAll refuses all requests queued for a service. The caller holds the lock.
func (t *Table) rejectAll(s graniteknot.Service) {
	for _, x := range t.queues[s] {
		x.result <- nil
	}
	delete(t.queues, s)
}

// closed reports whether the replica gets no requests for a time that it doesn't state.
func (t *target) closed() bool { return t.ending() || t.evacuated }
