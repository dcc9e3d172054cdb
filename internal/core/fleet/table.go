package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

const (
	// reportAge is how old a report may be to count.
	reportAge = 1500 * time.Millisecond
	// firstReport is how long a new engine waits for its sidecar's first report
	// before it is taken to have none.
	firstReport = time.Second
	// firstPause is how long a replica is left alone after a failure; it
	// doubles with each failure in a row, up to longestPause.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// patience is how many failures in a row are taken for chance.
	patience = 2
	// lapseTime is how long a replica is still used whose record vanished while
	// the store was away: a live replica registers again within it.
	lapseTime = 2 * time.Second
	// smoothing is the weight of a new latency in the mean.
	smoothing = 0.3
)

// Table knows the replicas. The zero value is empty.
type Table struct {
	// Clock is what ages are decided by; it is set before use.
	Clock graniteknot.AgeClock

	mu      sync.Mutex
	targets map[catalog.ReplicaID]*target
	// lives are what sidecars told of who is at an address.
	lives map[graniteknot.Address]life
	// addresses holds them by address.
	addresses map[graniteknot.Address][]*target
	// services holds the same targets by service.
	services map[graniteknot.Service][]*target
	// groups holds the same targets by service and group.
	groups map[graniteknot.Service][]*group
	// queues hold those who wait for room, by service.
	queues map[graniteknot.Service][]*waiter
	// rates are how often own requests come, by service.
	rates map[graniteknot.Service]*rate
	// intakes are what is seen of own requests to engines, by service.
	intakes map[graniteknot.Service]*intake
	// words are what lives said to this process, also of those whose record is gone.
	words map[catalog.Life]*word
	// outbox is what is to be told of limits.
	outbox outbox
	// home deals out limits where there is nobody else to ask.
	home quota.Home
	// places are when the last caller of a service that got no permit was told to come back.
	places map[graniteknot.Service]time.Time
	// stranded are own requests at lives that have ended, until the next look.
	stranded []*Lease
	// peers is how many gateways share the replicas; 0 counts as one.
	peers int
}

// SetGateways tells how many gateways share the replicas now.
func (t *Table) SetGateways(gateways int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers = gateways
}

// Put adds or changes a registered replica whose record has just been written. It returns
// whether anything but a heartbeat changed.
func (t *Table) Put(r catalog.Replica, now time.Time) bool { return t.PutSince(r, now, now) }

// PutSince is Put for a record that may have been written at any time after one.
func (t *Table) PutSince(r catalog.Replica, since, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = map[catalog.ReplicaID]*target{}
		t.services = map[graniteknot.Service][]*target{}
		t.addresses = map[graniteknot.Address][]*target{}
	}
	if t.over(&r) {
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
		t.succeed(old)
		t.add(r, since, now)
		return true
	}
	changed := old.replica.Draining != r.Draining || !old.lapsed.IsZero()
	// A replica that once said that it leaves does not come back in this life.
	r.Draining = r.Draining || old.replica.Draining
	if old.replica.Address != r.Address {
		t.move(old, r.Address)
	}
	if r.Written > old.replica.Written && (r.Beat == 0 || r.Beat > old.replica.Beat) {
		// The store shows a record again after its return from an older copy.
		old.beat = since
	}
	if r.Group != old.replica.Group {
		t.quit(old)
		old.replica = r
		t.join(old)
	}
	old.replica = r
	old.lapsed = time.Time{}
	t.heedRecord(old, now)
	if old.replaced || old.outlived {
		t.settle(r.Address)
	}
	return changed
}

// add registers a replica; called with the lock held.
func (t *Table) add(r catalog.Replica, since, now time.Time) {
	added := &target{replica: r, registered: now, since: since, own: map[*Lease]struct{}{}}
	t.recall(added)
	t.heedRecord(added, now)
	t.targets[r.ID] = added
	t.services[r.Service] = append(t.services[r.Service], added)
	t.addresses[r.Address] = append(t.addresses[r.Address], added)
	t.join(added)
	t.inherit(added, now)
	t.settle(r.Address)
}

// succeed takes out a life whose replica has begun another one under the same id. What is
// known of it says nothing of the next, and what it has will not be answered: those requests
// are moved with the next look at silent replicas. Called with the lock held.
func (t *Table) succeed(old *target) {
	for l := range old.own {
		if l.move != nil {
			t.stranded = append(t.stranded, l)
		}
	}
	t.remove(old.replica.ID)
}

// move notes that a target has another address.
func (t *Table) move(x *target, to graniteknot.Address) {
	from := x.replica.Address
	t.addresses[from] = without(t.addresses[from], x)
	t.addresses[to] = append(t.addresses[to], x)
	t.settle(from)
}

// settle finds out which of the replicas that are registered at an address has
// it now: the one that wrote last.
func (t *Table) settle(a graniteknot.Address) {
	var newest *target
	for _, x := range t.addresses[a] {
		if newest == nil || x.replica.Written > newest.replica.Written {
			newest = x
		}
	}
	for _, x := range t.addresses[a] {
		x.replaced = x != newest
	}
	t.outlive(a)
}

// Remove takes out a replica whose record is gone.
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
	t.noteGone(old)
	delete(t.targets, id)
	t.addresses[old.replica.Address] = without(t.addresses[old.replica.Address], old)
	t.settle(old.replica.Address)
	t.services[old.replica.Service] = without(t.services[old.replica.Service], old)
	t.quit(old)
	return true
}

// MarkLapsed notes that a record vanished at a time at which the store can't be
// trusted to know.
func (t *Table) MarkLapsed(id catalog.ReplicaID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.targets[id]
	if old == nil || !old.lapsed.IsZero() {
		return false
	}
	old.lapsed = now
	return true
}

// RemoveLapsed removes the replicas whose records vanished, once the store has been
// back since the given time for long enough. It returns their ids.
func (t *Table) RemoveLapsed(back, now time.Time) []catalog.ReplicaID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []catalog.ReplicaID
	for id, x := range t.targets {
		if x.lapsed.IsZero() {
			continue
		}
		since := x.lapsed
		if back.After(since) {
			since = back
		}
		if now.Sub(since) >= lapseTime {
			out = append(out, id)
		}
	}
	for _, id := range out {
		t.remove(id)
	}
	return out
}

// IDs returns the ids of all known replicas.
func (t *Table) IDs() []catalog.ReplicaID {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]catalog.ReplicaID, 0, len(t.targets))
	for id := range t.targets {
		out = append(out, id)
	}
	return out
}

// Unserved returns the ids of the replicas whose service is not among those served.
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

// Report takes the report of the replica at an address.
func (t *Table) Report(a graniteknot.Address, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.met(a, l.Life, l.Taken)
	for _, x := range t.addresses[a] {
		if l.Taken.After(x.load.Taken) && !x.outlived {
			x.load = l
			t.serve(x.replica.Service, l.Taken)
		}
	}
}

// Count tells how many replicas a service has, and how many may be used.
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
	return !t.barred(now) && !t.paused(now) && !t.onTrial()
}

// ending tells whether a replica leaves or has ended.
func (t *target) ending() bool {
	return t.replica.Draining || t.replaced || t.outlived || t.word != nil && t.word.leaving
}

// paused tells whether a replica that failed is left alone for now.
func (t *target) paused(now time.Time) bool {
	return t.failures >= patience && (now.Before(t.until) || t.trial)
}

// jitter breaks ties between equal targets.
func jitter() float64 { return rand.Float64() * 1e-3 }
