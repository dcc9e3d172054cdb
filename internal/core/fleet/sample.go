package fleet

import (
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// minCompared is the smallest sample of engines.
const minCompared = 2

// sample returns the engines to compare by cost. All gateways have the same
// reports; if each chose the least busy engine of all, that one would get a request from
// every gateway before a report shows it. The more requests other gateways send between
// two reports, the smaller the random sample.
func (t *Table) sample(s graniteknot.Service, list []*target, now time.Time) []*target {
	unseen := t.burstRate(s).perSecond(now) * float64(max(0, t.gateways-1)) * t.reportPeriod().Seconds()
	n := max(minCompared, int(float64(len(list))/(1+unseen)))
	if n >= len(list) {
		return list
	}
	// A partial shuffle; the order of the list doesn't matter.
	for i := range n {
		j := i + rand.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// burstRate returns the recent rate of own requests to a service. The caller holds the
// lock.
func (t *Table) burstRate(s graniteknot.Service) *decayingRate {
	if t.burstRates == nil {
		t.burstRates = map[graniteknot.Service]*decayingRate{}
	}
	if t.burstRates[s] == nil {
		t.burstRates[s] = &decayingRate{}
	}
	return t.burstRates[s]
}

// reportPeriod returns the time between two reports of an engine, during which other
// gateways' requests don't show.
func (t *Table) reportPeriod() time.Duration { return presence.ReportInterval(t.gateways) }
