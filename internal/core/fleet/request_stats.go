package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// arrivalWindow is the averaging window of the arrival rate, long enough to smooth
// out the few requests that a single process sees.
const arrivalWindow = 3 * time.Second

// workFactorWindow is the averaging window of a group's work factor.
const workFactorWindow = 2 * time.Second

// requestStats describes this process's requests to a service's engines. The zero
// value is empty.
type requestStats struct {
	// arrivals is the arrival rate.
	arrivals decayingRate
	// firstArrival is when the first request arrived; zero before it.
	firstArrival time.Time
	// overShare is the arrival rate of accounts over their shares.
	overShare decayingRate
	// lateArrivals is the rate of requests to a coordinated service that were late on arrival.
	lateArrivals decayingRate
	// arrivalsByUrgency are the arrival rates of each urgency over demandWindow.
	arrivalsByUrgency map[catalog.Urgency]*decayingRate
	// unqueuedFirstEvent is how long a first event takes at most if the request doesn't wait
	// inside its engine; 0 if unknown.
	unqueuedFirstEvent time.Duration
	// admission is that of the last choice, for a coordinated service.
	admission admission
	// gaveWay is when queued requests were last looked through for those to refuse.
	gaveWay time.Time
	// gaveWayCount is how many were refused.
	gaveWayCount int
	// firstEvent estimates the time from sending a request to its first event.
	firstEvent latencyEstimate
}

// addArrival counts a request that arrived.
func (r *requestStats) addArrival(u catalog.Urgency, now time.Time) {
	if r.firstArrival.IsZero() {
		r.firstArrival = now
	}
	r.arrivals.add(now)
	if r.arrivalsByUrgency == nil {
		r.arrivalsByUrgency = map[catalog.Urgency]*decayingRate{}
	}
	if r.arrivalsByUrgency[u] == nil {
		r.arrivalsByUrgency[u] = &decayingRate{window: demandWindow}
	}
	r.arrivalsByUrgency[u].add(now)
}

// statsOf returns a service's statistics. The caller holds the lock.
func (t *Table) statsOf(s graniteknot.Service) *requestStats {
	if t.stats == nil {
		t.stats = map[graniteknot.Service]*requestStats{}
	}
	if t.stats[s] == nil {
		t.stats[s] = &requestStats{
			arrivals: decayingRate{window: arrivalWindow}, overShare: decayingRate{window: arrivalWindow},
			lateArrivals: decayingRate{window: arrivalWindow},
		}
	}
	return t.stats[s]
}
