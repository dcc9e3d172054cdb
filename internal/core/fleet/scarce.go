package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// AllLimited tells whether all of a service's replicas that may be chosen are limited.
func (t *Table) AllLimited(s graniteknot.Service, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, scarce := t.scarce(s, now)
	return scarce
}

// longestPlace bounds when a caller that is refused for want of a permit is told to come back.
const longestPlace = 5 * time.Second

// RetryDelay returns in how long a caller that is refused for want of a permit may come back: each
// so much later than the one before as this process has permits, so that they do not all meet
// at the first one.
func (t *Table) RetryDelay(q *Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond, scarce := t.scarce(q.Service.Name, q.Now)
	if !scarce {
		return 0
	}
	if t.places == nil {
		t.places = map[graniteknot.Service]time.Time{}
	}
	at := q.Now.Add(t.rested(q))
	if next := t.places[q.Service.Name].Add(after(1, perSecond)); next.After(at) {
		at = next
	}
	if last := q.Now.Add(longestPlace); at.After(last) {
		at = last
	}
	t.places[q.Service.Name] = at
	return at.Sub(q.Now)
}

// scarce tells whether all of a service's replicas that may be chosen are limited, and how many
// requests a second this process may expect to send them; called with the lock held.
func (t *Table) scarce(s graniteknot.Service, now time.Time) (perSecond float64, scarce bool) {
	for _, x := range t.services[s] {
		switch {
		case x.barred(now):
		case !x.limited():
			return 0, false
		default:
			perSecond += x.word.limit.part.PerSecond()
			scarce = true
		}
	}
	return perSecond, scarce
}
