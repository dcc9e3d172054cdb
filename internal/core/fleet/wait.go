package fleet

import (
	"math"
	"time"

	graniteknot "graniteknot.org/go"
)

// minSpareShare is the share of the throughput that requests in time must leave over
// for late ones to be served within a reasonable time.
const minSpareShare = 0.05

// shouldQueue reports whether a request without a free slot is queued: if it can be in
// time behind the requests before it; if it will be late but served while its caller
// waits; or if capacity is unknown, because no group runs yet or one is recovering.
// Others are better refused at once. The caller holds the lock.
func (t *Table) shouldQueue(q *Query, bounds WaitBounds) bool {
	s := q.Service.Name
	rate := t.throughput(q)
	switch {
	case rate <= 0 && q.Service.Engine != nil:
		return !t.allDownFor(q)
	case t.limitBound(q, rate):
		inTime, _ := t.queuedAhead(s, q, bounds)
		return t.permitInTime(q, bounds, inTime)
	case q.Service.Engine == nil:
		return false
	}
	if t.recoveringFor(q) {
		return true
	}
	if wait, known := t.coordinatedWait(q, bounds); known {
		return wait
	}
	inTime, all := t.queuedAhead(s, q, bounds)
	first := t.statsOf(s).firstEvent.expected()
	if start := q.Now.Add(timeFor(inTime, rate)); start.Add(first).Before(bounds.FirstEventBy) {
		return true
	}
	if q.Returned && q.Now.Add(timeFor(all, rate)).Before(bounds.GiveUpAt) {
		// It goes before the newcomers that arrive, and its caller has no further try.
		return true
	}
	spare := rate - t.competingArrivals(q)*t.allowedPartOf(q)
	return spare > minSpareShare*rate && q.Now.Add(timeFor(all, spare)).Before(bounds.GiveUpAt)
}

// limitBound reports whether the replicas' limits, and not their throughput, bound
// what this process may send. The caller holds the lock.
func (t *Table) limitBound(q *Query, rate float64) bool {
	perSecond, limited := t.limitedRate(q.Service.Name, *q.competesIn(), q.Now)
	return limited && (q.Service.Engine == nil || perSecond < rate)
}

// permitInTime reports whether a request behind before others gets a permit that lets
// it be in time: this process holds one, or will soon hear whether it gets one. The
// caller holds the lock.
func (t *Table) permitInTime(q *Query, bounds WaitBounds, before int) bool {
	by := bounds.FirstEventBy.Add(-t.statsOf(q.Service.Name).firstEvent.expected())
	permits, soon := 0, false
	for _, x := range t.services[q.Service.Name] {
		if x.excluded(q.Now) || !x.limited() || !q.competesIn().allows(x) {
			continue
		}
		permits += x.life.limit.permits.AvailableBy(by, q.Now)
		_, due := t.outbox.wanted[x.replica.Life()]
		soon = soon || due || x.life.limit.permits.GrantImminent(q.Now)
	}
	return q.Now.Before(by) && (permits > before || soon)
}

// queuedAhead counts the requests served before a request: those that can be in time,
// and all.
func (t *Table) queuedAhead(s graniteknot.Service, q *Query, bounds WaitBounds) (inTime, all int) {
	order := t.orderOf(q, q.Now)
	own, part := &waiter{query: q, bounds: bounds}, t.allowedPartOf(q)
	inTimeAhead, allAhead := 0.0, 0.0
	for _, x := range t.queues[s] {
		weight := q.competesIn().weightOf(x.query, part)
		if order.servedAsInTime(x) && !order.before(own, x) {
			inTimeAhead += weight
		}
		if x.query.Urgency <= q.Urgency {
			allAhead += weight
		}
	}
	return int(inTimeAhead), int(allAhead)
}

// throughput returns how many requests a second this process may send to those of a service's
// engines that a request is allowed to, from its groups' pass times over the last seconds; 0 if none run.
func (t *Table) throughput(q *Query) float64 {
	sum := 0.0
	for _, s := range t.groupStates(q) {
		sum += s.throughput(q)
	}
	return sum / t.shareDivisor(q.Service, q.Now)
}

// throughput returns how many requests a second the group's engines answer that the request is
// allowed to.
func (s *groupState) throughput(q *Query) float64 {
	if s.allowed.engines == 0 {
		return 0
	}
	m := s.model
	if !m.assumed {
		s.followMaps(q, m.workFactor)
		m.workFactor = s.smoothWorkFactor(m.workFactor, q.Now)
	}
	n := m.maxRequests()
	duration := time.Duration(q.Service.Engine.Passes()) * m.passTime(n)
	return n * s.allowed.engines / duration.Seconds()
}

// timeFor returns how long n requests take at a rate per second.
func timeFor(n int, perSecond float64) time.Duration {
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// QueueDrainTime estimates how long it takes to serve the requests queued for those of a service's
// engines that a request is allowed to; 0 if none are queued.
func (t *Table) QueueDrainTime(q *Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Service.Engine == nil || len(t.queues[q.Service.Name]) == 0 {
		return 0
	}
	part, waiting := t.allowedPartOf(q), 0.0
	for _, x := range t.queues[q.Service.Name] {
		waiting += q.competesIn().weightOf(x.query, part)
	}
	rate := t.throughput(q)
	spare := max(rate-t.statsOf(q.Service.Name).arrivals.perSecond(q.Now)*part, minSpareShare*rate)
	if spare <= 0 {
		return 0
	}
	return timeFor(int(math.Ceil(waiting)), spare)
}
