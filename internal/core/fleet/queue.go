package fleet

import (
	"context"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// crowded is the part of the room that has to be taken for gateways where requests
// wait to keep to their own parts: each sees the same places, and takes some before
// the others' reports tell.
const crowded = 0.5

// nearlyFull is the same for requests that have just come, of groups that have run for a
// while: gateways that each see the same few places left fill engines beyond their slots.
const nearlyFull = 0.75

// reserved is the part of the room that is kept from those who will be late, for
// those to come who can be in time.
const reserved = 0.1

// WaitBounds bounds how long a request waits for room.
type WaitBounds struct {
	// FirstEventBy is by when the first event has to come for the answer to be fully
	// useful. Those who can still be in time go before those who can't.
	FirstEventBy time.Time
	// GiveUpAt is when waiting is given up.
	GiveUpAt time.Time
}

// waiter is a request that waits for room at an engine.
type waiter struct {
	query *Query
	wait  WaitBounds
	// ready gets the lease, nil where waiting is in vain; it has room for one.
	ready chan *Lease
}

// Acquire chooses a replica as Pick does, but waits for room at an engine. It
// returns nil when the wait is over, or no replica may be chosen.
func (t *Table) Acquire(ctx context.Context, q *Query, w WaitBounds) *Lease {
	if q.Service.Engine == nil && !t.limits(q) {
		return t.Pick(q)
	}
	lease, one := t.enter(q, w)
	if one == nil {
		return lease
	}
	timer := time.NewTimer(t.Clock.Until(w.GiveUpAt))
	defer timer.Stop()
	select {
	case lease := <-one.ready:
		return lease
	case <-timer.C:
	case <-ctx.Done():
	}
	return t.leave(q.Service.Name, one)
}

// enter returns a lease at once, or a place in the queue; neither when no
// replica may be chosen.
func (t *Table) enter(q *Query, w WaitBounds) (*Lease, *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals(q.Service.Name).note(q.Now)
	t.intake(q.Service.Name).asked.note(q.Now)
	t.want(q.Service.Name, q.Now)
	if t.best(q, func(x *target) bool { return !x.ending() }) == nil {
		return nil, nil
	}
	if rest := t.rested(q); rest > 0 && q.Now.Add(rest).After(w.GiveUpAt) {
		return nil, nil
	}
	if len(t.queues[q.Service.Name]) == 0 {
		if best := t.choose(q, false); best != nil {
			return t.lease(best, q), nil
		}
	}
	if !t.worthWaiting(q, w) {
		return nil, nil
	}
	one := &waiter{query: q, wait: w, ready: make(chan *Lease, 1)}
	if t.queues == nil {
		t.queues = map[graniteknot.Service][]*waiter{}
	}
	t.queues[q.Service.Name] = append(t.queues[q.Service.Name], one)
	t.serve(q.Service.Name, t.Clock.Now())
	return nil, one
}

// leave gives a place in the queue up. The lease may have come meanwhile.
func (t *Table) leave(s graniteknot.Service, one *waiter) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queues[s] = slices.DeleteFunc(t.queues[s], func(x *waiter) bool { return x == one })
	select {
	case lease := <-one.ready:
		return lease
	default:
		return nil
	}
}

// limits tells whether a replica of a service names a limit.
func (t *Table) limits(q *Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.services[q.Service.Name], (*target).limited)
}

// choose returns the best replica for a request, or for one that has waited; nil when there is
// none now. Called with the lock held.
func (t *Table) choose(q *Query, waiting bool) *target {
	if q.Service.Engine == nil {
		return t.plain(q)
	}
	return t.roomy(q, waiting)
}

// roomy returns the best usable replica of the groups that have room for one more
// request, or for one that has waited; nil when none has. Called with the lock held.
func (t *Table) roomy(q *Query, waiting bool) *target {
	standings := t.standings(q)
	var may []*target
	for i := range standings {
		may = append(may, standings[i].roomy(q, max(1, t.peers), waiting)...)
	}
	return cheapest(lapsingToo(t.sample(q.Service.Name, may, q.Now), may), q, standings)
}

// lapsingToo adds to a sample of targets those of which this process has a permit. The others
// can't choose these now.
func lapsingToo(sample, all []*target) []*target {
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

// serve hands free room to those who wait; called with the lock held.
func (t *Table) serve(s graniteknot.Service, now time.Time) {
	for len(t.queues[s]) > 0 {
		turn := turn{event: now.Add(t.intake(s).first.expected())}
		i := turn.first(t.queues[s])
		one := t.queues[s][i]
		one.query.Now, one.query.late = now, !one.wait.FirstEventBy.After(turn.event)
		best := t.choose(one.query, true)
		if best == nil {
			return
		}
		t.queues[s] = slices.Delete(t.queues[s], i, i+1)
		one.ready <- t.lease(best, one.query)
	}
}

// Queued tells how many requests wait for a service, and how many replicas have
// no room.
func (t *Table) Queued(s *catalog.Service) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queues[s.Name])
}
