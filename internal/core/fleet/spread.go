package fleet

import (
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// leastCompared is how many engines are compared at least.
const leastCompared = 2

// sample returns the engines among which the least busy one is chosen. All
// gateways have the same reports: if each chose the least busy of all, that one
// would get a request from each of them before any report tells. So they compare
// the fewer engines, taken at random, the more requests the others send between
// two reports.
func (t *Table) sample(s graniteknot.Service, list []*target, now time.Time) []*target {
	unseen := t.arrivals(s).perSecond(now) * float64(max(0, t.peers-1)) * t.period().Seconds()
	n := max(leastCompared, int(float64(len(list))/(1+unseen)))
	if n >= len(list) {
		return list
	}
	// The first n of a shuffle; the order of the list does not matter.
	for i := range n {
		j := i + rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// arrivals is the rate of own requests to a service; called with the lock held.
func (t *Table) arrivals(s graniteknot.Service) *rate {
	if t.rates == nil {
		t.rates = map[graniteknot.Service]*rate{}
	}
	if t.rates[s] == nil {
		t.rates[s] = &rate{}
	}
	return t.rates[s]
}

// period is the time between two reports of an engine: how long the requests of
// other gateways are not seen.
func (t *Table) period() time.Duration { return presence.ReportInterval(t.peers) }
