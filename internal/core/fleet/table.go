package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/demand"
	"graniteknot.org/go/internal/core/quota"
)

const (
	// maxReportAge is how old a report may be to count.
	maxReportAge = 1500 * time.Millisecond
	// firstReportWait is how long a new engine waits for its sidecar's first report
	// before it is taken to have no sidecar.
	firstReportWait = time.Second
	// baseEjection is how long a replica is ejected after a failure; it doubles with
	// each consecutive failure, up to maxEjection.
	baseEjection = 250 * time.Millisecond
	maxEjection  = 4 * time.Second
	// ejectAfter is how many consecutive failures eject a replica.
	ejectAfter = 2
	// latencyWeight is the weight of a new latency in the moving mean.
	latencyWeight = 0.3
)

// Table holds the known replicas. The zero value is empty.
type Table struct {
	// Clock determines ages; it is set before use.
	Clock graniteknot.AgeClock
	// Demand returns the demand for a coordinated service over all gateways; nil is unknown. It
	// is set before use, and must not call the table.
	Demand func(graniteknot.Service, time.Time) demand.Totals

	mu      sync.Mutex
	targets map[catalog.ReplicaID]*target
	// digest combines the hashes of the targets.
	digest Digest
	// reportedLives holds the lives that sidecars reported, by address.
	reportedLives map[graniteknot.Address]reportedLife
	// addresses holds the same targets by address.
	addresses map[graniteknot.Address][]*target
	// addressHashes holds the addresses of targets by presence.TargetHash.
	addressHashes map[uint32]graniteknot.Address
	// services holds the same targets by service.
	services map[graniteknot.Service][]*target
	// groups holds the same targets by service and group.
	groups map[graniteknot.Service][]*group
	// queues holds the queued requests by service.
	queues map[graniteknot.Service][]*waiter
	// burstRates are the recent rates of own requests by service.
	burstRates map[graniteknot.Service]*decayingRate
	// stats describe own requests to engines by service.
	stats map[graniteknot.Service]*requestStats
	// accountShares are the shares of accounts by coordinated service.
	accountShares map[graniteknot.Service]*accountShares
	// lives holds the state of each life, also of those without a record.
	lives map[catalog.Life]*lifeState
	// outbox holds the notices and permit requests to send.
	outbox outbox
	// localGranter grants permits if there is no other process to ask.
	localGranter quota.Allocator
	// retryTimes is, by service, the last retry time given to a caller that got no
	// permit.
	retryTimes map[graniteknot.Service]time.Time
	// orphaned holds own leases under the records of former lives.
	orphaned []*Lease
	// lapsed is how many targets' records have lapsed.
	lapsed int
	// gateways is how many gateways share the replicas; 0 counts as one.
	gateways int
	// evacuatedZones are the zones whose replicas get no requests.
	evacuatedZones []graniteknot.AvailabilityZone
}

// SetGateways sets how many gateways share the replicas.
func (t *Table) SetGateways(gateways int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateways = gateways
}

// Put adds or updates a registered replica whose record has just been written. It
// returns whether anything but a heartbeat changed.
func (t *Table) Put(r catalog.Replica, now time.Time) bool { return t.PutSince(r, now, now) }

// PutSince is Put for a record that was written at since or later.
func (t *Table) PutSince(r catalog.Replica, since, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = map[catalog.ReplicaID]*target{}
		t.services = map[graniteknot.Service][]*target{}
		t.addresses = map[graniteknot.Address][]*target{}
	}
	if t.lifeEnded(&r) {
		return false
	}
	old := t.targets[r.ID]
	if old == nil {
		t.add(r, since, now)
		return true
	}
	if old.replica.Born != r.Born {
		if r.Written < old.replica.Written {
			return false
		}
		t.replaceLife(old, now)
		t.add(r, since, now)
		return true
	}
	changed := old.replica.Draining != r.Draining || old.replica.Warmup != r.Warmup || !old.lapsed.IsZero()
	// Draining is final within a life.
	r.Draining = r.Draining || old.replica.Draining
	if old.replica.Address != r.Address {
		t.changeAddress(old, r.Address)
	}
	if r.Written > old.replica.Written && (r.Beat == 0 || r.Beat > old.replica.Beat) {
		// A store restored from an older copy shows a record at a new position, but with
		// no later heartbeat.
		old.lastHeartbeat = since
	}
	t.updateWarmup(old, &r, now)
	if r.Group != old.replica.Group {
		t.leaveGroup(old)
		old.replica = r
		t.joinGroup(old)
	}
	old.replica = r
	t.rehash(old)
	old.evacuated = t.zoneEvacuated(r.Zone)
	t.unmarkLapsed(old)
	t.noteDraining(old, now)
	if old.addressTaken || old.superseded {
		t.resolveAddress(r.Address)
	}
	return changed
}

// add registers a replica. The caller holds the lock.
func (t *Table) add(r catalog.Replica, since, now time.Time) {
	x := &target{replica: r, registered: now, writtenAfter: since, own: map[*Lease]struct{}{}}
	x.evacuated = t.zoneEvacuated(r.Zone)
	t.restoreLife(x)
	t.noteDraining(x, now)
	t.targets[r.ID] = x
	t.rehash(x)
	t.setWarmup(x, &r, since, now)
	t.services[r.Service] = append(t.services[r.Service], x)
	t.indexAddress(r.Address, x)
	t.joinGroup(x)
	t.inheritFeedback(x, now)
	t.resolveAddress(r.Address)
}

// replaceLife removes a life whose replica has started a new one with the same ID.
// The next life starts without its state. Requests at the former one won't be answered,
// but some may have reached the next one before its record was read. The caller holds
// the lock.
func (t *Table) replaceLife(old *target, now time.Time) {
	for l := range old.own {
		l.orphanedAt = now
		t.orphaned = append(t.orphaned, l)
	}
	t.remove(old.replica.ID)
}

// Remove removes a replica whose record is gone.
func (t *Table) Remove(id catalog.ReplicaID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remove(id)
}

func (t *Table) remove(id catalog.ReplicaID) bool {
	old := t.targets[id]
	if old == nil {
		return false
	}
	t.unmarkLapsed(old)
	t.markEnded(old)
	t.digest ^= old.hash
	delete(t.targets, id)
	t.unindexAddress(old.replica.Address, old)
	t.resolveAddress(old.replica.Address)
	t.services[old.replica.Service] = without(t.services[old.replica.Service], old)
	t.leaveGroup(old)
	return true
}

// Has reports whether a replica is known.
func (t *Table) Has(id catalog.ReplicaID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[id] != nil
}

// IDs returns the IDs of all known replicas.
func (t *Table) IDs() []catalog.ReplicaID {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]catalog.ReplicaID, 0, len(t.targets))
	for id := range t.targets {
		out = append(out, id)
	}
	return out
}

// Unserved returns the IDs of the replicas whose service isn't served.
func (t *Table) Unserved(served func(graniteknot.Service) bool) []catalog.ReplicaID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []catalog.ReplicaID
	for id, x := range t.targets {
		if !served(x.replica.Service) {
			out = append(out, id)
		}
	}
	return out
}

// Count returns how many replicas a service has and how many of them are usable.
func (t *Table) Count(s graniteknot.Service, now time.Time) (all, usable int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.services[s] {
		all++
		if x.usable(now) {
			usable++
		}
	}
	return all, usable
}

func (t *target) usable(now time.Time) bool {
	return !t.excluded(now) && !t.ejected(now) && !t.confirming()
}

// ending reports whether a replica is leaving or has ended.
func (t *target) ending() bool {
	return t.replica.Draining || t.addressTaken || t.superseded || t.life != nil && t.life.leaving
}

// ejected reports whether a replica that failed gets no requests now.
func (t *target) ejected(now time.Time) bool {
	return t.failures >= ejectAfter && (now.Before(t.ejectedUntil) || t.probing)
}

// jitter breaks ties between equal targets.
func jitter() float64 { return rand.Float64() * 1e-3 }
