package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// AllLimited reports whether all replicas of a service that may be chosen are limited.
func (t *Table) AllLimited(s graniteknot.Service, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, limited := t.limitedRate(s, ZoneRestriction{}, now)
	return limited
}

// maxRetryDelay bounds the retry delay of a caller refused for lack of a permit.
const maxRetryDelay = 5 * time.Second

// RetryDelay returns when a caller refused for lack of a permit may retry. Successive
// callers are spaced by this process's permit rate, so that they don't all compete for
// the first permit.
func (t *Table) RetryDelay(q *Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond, limited := t.limitedRate(q.Service.Name, ZoneRestriction{}, q.Now)
	if !limited {
		return 0
	}
	if t.retryTimes == nil {
		t.retryTimes = map[graniteknot.Service]time.Time{}
	}
	at := q.Now.Add(t.timeUntilAvailable(q))
	if next := t.retryTimes[q.Service.Name].Add(timeFor(1, perSecond)); next.After(at) {
		at = next
	}
	if last := q.Now.Add(maxRetryDelay); at.After(last) {
		at = last
	}
	t.retryTimes[q.Service.Name] = at
	return at.Sub(q.Now)
}

// limitedRate reports whether all allowed replicas of a service that may be chosen are limited,
// and how many requests a second this process may expect to send them. The caller holds
// the lock.
func (t *Table) limitedRate(s graniteknot.Service, allowed ZoneRestriction, now time.Time) (perSecond float64, limited bool) {
	for _, x := range t.services[s] {
		switch {
		case x.excluded(now) || !allowed.allows(x):
		case !x.limited():
			return 0, false
		default:
			perSecond += x.life.limit.permits.PermitsPerSecond()
			limited = true
		}
	}
	return perSecond, limited
}
