package fleet

import (
	"math"
	"time"

	graniteknot "graniteknot.org/go"
)

// noteExcess counts an arrival of an account over its share. The caller holds the lock.
func (t *Table) noteExcess(q *Query) {
	q.usableShare = t.accountSharesOf(q, q.Now).usableShare(q)
	if q.overShare() {
		t.statsOf(q.Service.Name).overShare.add(q.Now)
	}
}

// overShare reports whether the request's account ran more than its share when it was last
// considered.
func (q *Query) overShare() bool { return q.usableShare > 0 && q.usableShare < 1 }

// mayUse reports whether the request may use one more slot of a group that has so many requests
// and slots.
func (q *Query) mayUse(requests, slots float64) bool {
	if q.late && requests >= (1-reservedShare)*slots {
		return false
	}
	return !q.overShare() || requests < q.usableShare*slots
}

// competingArrivals returns the rate at which requests arrive that a request competes with: for
// an account at or below its share, those of accounts over theirs do not count. The caller holds
// the lock.
func (t *Table) competingArrivals(q *Query) float64 {
	stats := t.statsOf(q.Service.Name)
	if q.overShare() {
		return stats.arrivals.perSecond(q.Now)
	}
	return stats.arrivals.perSecond(q.Now) - stats.overShare.perSecond(q.Now)
}

// chooseNext chooses a replica for the request to serve next, and returns the request's index.
// If there is none because its account is over its share, the next one of the same urgency whose
// account is not may have one. The caller holds the lock.
func (t *Table) chooseNext(queue []*waiter, order serviceOrder, now time.Time) (int, *target) {
	i := order.next(queue)
	urgency := queue[i].query.Urgency
	best := t.chooseQueued(queue[i], order, now)
	if best != nil || !queue[i].query.overShare() {
		return i, best
	}
	within := -1
	for j, w := range queue {
		if w.query.Urgency == urgency && order.shares.excess(w.query.Account) == 0 && (within < 0 || order.before(w, queue[within])) {
			within = j
		}
	}
	if within < 0 {
		return i, nil
	}
	return within, t.chooseQueued(queue[within], order, now)
}

// chooseQueued chooses a replica for a queued request. The caller holds the lock.
func (t *Table) chooseQueued(w *waiter, order serviceOrder, now time.Time) *target {
	w.query.Now, w.query.late = now, !order.servedAsInTime(w)
	return t.choose(w.query, true)
}

// noteRefused counts a request that got no lease for its account: one whose requests are refused
// would otherwise seem to ask for less than it does, and get a larger share.
func (t *Table) noteRefused(q *Query, l *Lease) {
	if l != nil || !q.Service.Coordinated {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if s := t.accountSharesOf(q, now); s != nil {
		s.useOf(q.Account).refused.add(now)
	}
}

// refusedOf returns how many requests of each account would run here if they had not been refused.
// The caller holds the lock.
func (t *Table) refusedOf(s graniteknot.Service, now time.Time) map[graniteknot.Account]int {
	shares := t.accountShares[s]
	if shares == nil {
		return nil
	}
	out := map[graniteknot.Account]int{}
	for name, u := range shares.accounts {
		if n := math.Round(u.refused.perSecond(now) * shares.holding.Seconds()); n > 0 {
			out[name] = int(n)
		}
	}
	return out
}
