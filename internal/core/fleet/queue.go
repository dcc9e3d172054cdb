package fleet

import (
	"context"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// crowdedShare is the used share of capacity above which gateways keep to their own
// shares while requests are queued: all see the same free slots, and each takes some
// before the others' reports show it.
const crowdedShare = 0.5

// nearlyFullShare is the same for requests that have just arrived, to groups that
// aren't recovering: gateways that all see the same few free slots would fill
// engines beyond their slots.
const nearlyFullShare = 0.75

// reservedShare is the share of capacity that late requests can't use, so that
// requests that arrive next can still be in time.
const reservedShare = 0.1

// WaitBounds bounds how long a request is queued.
type WaitBounds struct {
	// FirstEventBy is when the first event must arrive for the response to be fully
	// useful. Requests that can still meet it go before those that can't.
	FirstEventBy time.Time
	// GiveUpAt is when waiting ends.
	GiveUpAt time.Time
}

// waiter is a queued request.
type waiter struct {
	query  *Query
	bounds WaitBounds
	// result receives the lease, or nil if waiting is pointless; its buffer holds one.
	result chan *Lease
}

// Acquire chooses a replica like Pick, but waits for a free slot at an engine or for
// a permit. It returns nil when the wait is over or no replica may be chosen.
func (t *Table) Acquire(ctx context.Context, q *Query, bounds WaitBounds) (l *Lease) {
	if q.Service.Engine == nil && !t.anyLimited(q) {
		return t.Pick(q)
	}
	defer func() { t.noteRefused(q, l) }()
	lease, queued := t.acquireOrQueue(q, bounds)
	if queued == nil {
		return lease
	}
	for {
		wakeAt := t.nextPermit(q.Service.Name, bounds.GiveUpAt)
		timer := time.NewTimer(t.Clock.Until(wakeAt))
		select {
		case lease := <-queued.result:
			timer.Stop()
			return lease
		case <-ctx.Done():
			timer.Stop()
			return t.cancelWait(q.Service.Name, queued)
		case <-timer.C:
		}
		if !t.Clock.Now().Before(bounds.GiveUpAt) {
			return t.cancelWait(q.Service.Name, queued)
		}
		t.serveWaiting(q.Service.Name)
	}
}

// nextPermit returns when the next permit that this process holds for a service's replicas
// becomes valid; last if that is later, or if it holds none.
func (t *Table) nextPermit(s graniteknot.Service, last time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, x := range t.services[s] {
		if !x.limited() || x.excluded(now) {
			continue
		}
		if from, held := x.life.limit.permits.NextStart(now); held && from.Before(last) {
			last = from
		}
	}
	return last
}

// serveWaiting serves the requests queued for a service.
func (t *Table) serveWaiting(s graniteknot.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serveQueue(s, t.Clock.Now())
}

// acquireOrQueue returns a lease at once, or a queued waiter; neither if no replica
// may be chosen or waiting is pointless.
func (t *Table) acquireOrQueue(q *Query, bounds WaitBounds) (*Lease, *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.burstRate(q.Service.Name).add(q.Now)
	t.statsOf(q.Service.Name).addArrival(q.Urgency, q.Now)
	t.noteExcess(q)
	t.noteLate(q, bounds)
	t.wantPermits(q.Service.Name, q.Now)
	if t.allClosedTo(q) {
		return nil, nil
	}
	if wait := t.timeUntilAvailable(q); wait > 0 && q.Now.Add(wait).After(bounds.GiveUpAt) {
		return nil, nil
	}
	if len(t.queues[q.Service.Name]) == 0 {
		if best := t.choose(q, false); best != nil {
			return t.newLease(best, q), nil
		}
	}
	if !t.shouldQueue(q, bounds) {
		return nil, nil
	}
	queued := &waiter{query: q, bounds: bounds, result: make(chan *Lease, 1)}
	if t.queues == nil {
		t.queues = map[graniteknot.Service][]*waiter{}
	}
	t.queues[q.Service.Name] = append(t.queues[q.Service.Name], queued)
	t.serveQueue(q.Service.Name, t.Clock.Now())
	return nil, queued
}

// cancelWait removes a waiter from the queue. It returns the lease if one was handed
// out meanwhile.
func (t *Table) cancelWait(s graniteknot.Service, queued *waiter) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queues[s] = slices.DeleteFunc(t.queues[s], func(x *waiter) bool { return x == queued })
	select {
	case lease := <-queued.result:
		return lease
	default:
		return nil
	}
}

// anyLimited reports whether a replica of the service is limited.
func (t *Table) anyLimited(q *Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.services[q.Service.Name], (*target).limited)
}

// choose returns the best replica for a request, new or queued; nil if there is none
// now. The caller holds the lock.
func (t *Table) choose(q *Query, waiting bool) *target {
	if q.Service.Engine == nil {
		return t.pickPlain(q)
	}
	return t.pickEngine(q, waiting)
}

// pickEngine returns the best engine of the groups with capacity for one more
// request, new or queued; nil if there is none. The caller holds the lock.
func (t *Table) pickEngine(q *Query, waiting bool) *target {
	states := t.groupStates(q)
	q.usableShare = t.accountSharesOf(q, q.Now).usableShare(q)
	t.coordinate(q, states)
	var available []*target
	divisor := t.shareDivisor(q.Service, q.Now)
	for i := range states {
		available = append(available, states[i].availableEngines(q, divisor, waiting)...)
	}
	if len(q.Tried) > 0 {
		available = recentlyHeard(available, q.Now)
	}
	return leastCost(addPermitted(t.sample(q.Service.Name, available, q.Now), available), q, states)
}

// addPermitted adds to a sample those targets that this process holds a permit for:
// no other process can use that permit.
func addPermitted(sample, all []*target) []*target {
	if len(sample) == len(all) {
		return sample
	}
	for _, x := range all {
		if x.limited() && !slices.Contains(sample, x) {
			sample = append(sample[:len(sample):len(sample)], x)
		}
	}
	return sample
}

// serveQueue gives free slots to queued requests. The caller holds the lock.
func (t *Table) serveQueue(s graniteknot.Service, now time.Time) {
	var restricted []*waiter
	// Requests that may not be sent to the free replicas must not keep others from them.
	defer func() {
		if len(restricted) > 0 {
			t.queues[s] = append(t.queues[s], restricted...)
		}
	}()
	t.giveWay(s, now)
	for len(t.queues[s]) > 0 {
		order := t.orderOf(t.queues[s][0].query, now)
		i, best := t.chooseNext(t.queues[s], order, now)
		next := t.queues[s][i]
		if best == nil && !next.query.Allowed.Restricted {
			return
		}
		if best == nil {
			restricted = append(restricted, next)
			t.queues[s] = slices.Delete(t.queues[s], i, i+1)
			continue
		}
		t.queues[s] = slices.Delete(t.queues[s], i, i+1)
		next.result <- t.newLease(best, next.query)
	}
}

// Queued returns how many requests are queued for a service.
func (t *Table) Queued(s *catalog.Service) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queues[s.Name])
}
