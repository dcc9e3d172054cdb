package fleet

import (
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
)

// giveWayPeriod is the least time between two searches of a queue for requests to refuse. Each
// of a service's reports would cause one otherwise.
const giveWayPeriod = 10 * time.Millisecond

// mayWait reports whether a request to a coordinated service is queued: if it can be in time
// behind the requests before it, its part of those more urgent that are queued at any gateway,
// and those more urgent that will arrive, or if it will be late
// but served while its caller waits, by what requests in time leave over.
func (a *admission) mayWait(q *Query, bounds WaitBounds, first time.Duration, inTimeAhead, lateAhead int) bool {
	rate := a.throughput * a.totals.OwnShare
	moreUrgent, queued := 0.0, 0
	for _, r := range a.totals.Ranks {
		if r.Urgency < q.Urgency {
			moreUrgent += r.Arrivals
			queued += r.Queued
		}
	}
	left := max(rate-moreUrgent*a.totals.OwnShare, minSpareShare*rate)
	ahead := max(inTimeAhead, int(float64(queued)*a.totals.OwnShare))
	if left > 0 && q.Now.Add(timeFor(ahead, left)).Add(first).Before(bounds.FirstEventBy) {
		return true
	}
	if q.Promised && left > 0 && q.Now.Add(timeFor(ahead, left)).Before(bounds.GiveUpAt) {
		return true
	}
	spare := rate * a.spareShare()
	return spare > minSpareShare*rate && q.Now.Add(timeFor(lateAhead+1, spare)).Before(bounds.GiveUpAt)
}

// giveWay refuses queued requests of a coordinated service that can no longer be served within
// their bounds, because more urgent requests have arrived. The caller holds the lock.
func (t *Table) giveWay(s graniteknot.Service, now time.Time) {
	queue := t.queues[s]
	if len(queue) == 0 || !queue[0].query.Service.Coordinated || now.Sub(t.statsOf(s).gaveWay) < giveWayPeriod {
		return
	}
	t.statsOf(s).gaveWay = now
	q := *queue[0].query
	q.Now, q.Allowed = now, ZoneRestriction{}
	all := t.newCompetition(&q)
	if all.admission == nil || all.admission.throughput <= 0 || t.recovering(s, now) || t.limitBound(&q, t.throughput(&q)) {
		return
	}
	order := t.orderOf(&q, now)
	first := order.firstEvent.Sub(now)
	slices.SortStableFunc(queue, func(x, y *waiter) int {
		switch {
		case order.before(x, y):
			return -1
		case order.before(y, x):
			return 1
		}
		return 0
	})
	competitions := []*zoneCompetition{all}
	for _, x := range queue {
		x.query.Now = now
		t.competitionOf(&competitions, q, x.query.Allowed)
	}
	t.queues[s] = slices.DeleteFunc(queue, func(x *waiter) bool {
		own := t.competitionOf(&competitions, q, x.query.Allowed)
		if own.admission != nil && own.admission.throughput > 0 && !own.admission.mayWait(x.query, x.bounds, first, int(own.inTime), int(own.late)) {
			x.result <- nil
			t.statsOf(s).gaveWayCount++
			return true
		}
		for _, l := range competitions {
			l.count(x, order)
		}
		return false
	})
}

// GaveWay returns how many queued requests to a service were refused because more urgent requests
// had arrived.
func (t *Table) GaveWay(s graniteknot.Service) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statsOf(s).gaveWayCount
}

// orderOf returns the order of a service's queue. The caller holds the lock.
func (t *Table) orderOf(q *Query, now time.Time) serviceOrder {
	return serviceOrder{
		firstEvent: now.Add(t.expectedFirstEvent(q.Service, now)), inTimeFirst: t.demandFor(q.Service, now).Known,
		shares: t.accountSharesOf(q, now),
	}
}

// coordinatedWait is shouldQueue for a coordinated service; known is false for all others. The
// caller holds the lock.
func (t *Table) coordinatedWait(q *Query, bounds WaitBounds) (wait, known bool) {
	ahead := t.newCompetition(q)
	a := ahead.admission
	if a == nil || a.throughput <= 0 {
		return false, false
	}
	order := t.orderOf(q, q.Now)
	own := &waiter{query: q, bounds: bounds}
	for _, x := range t.queues[q.Service.Name] {
		if !order.before(own, x) {
			ahead.count(x, order)
		}
	}
	return a.mayWait(q, bounds, order.firstEvent.Sub(q.Now), int(ahead.inTime), int(ahead.late)), true
}
