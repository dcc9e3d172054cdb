package fleet

import (
	"math"
	"time"
)

// A group that has just come up is empty. Until as many streams end as begin, which takes the two
// seconds that a stream lasts, it has free slots that callers who arrive later need. Meanwhile its
// first expert maps nearly double its throughput, and the burst of returning callers is in all
// averages of arrivals. So while a group of a coordinated service opens, late requests get what
// requests in time, counted apart from late ones, are going to leave over.

// justUp reports whether the group came up within recoveryPeriod.
func (g *group) justUp(now time.Time) bool {
	return !g.upSince.IsZero() && now.Sub(g.upSince) < recoveryPeriod
}

// opening reports whether the group has just come up and serves a coordinated service.
func (s *groupState) opening(q *Query) bool {
	return q.Service.Coordinated && s.justUp(q.Now)
}

// ownPart returns how many requests of this process a group may have where each gateway keeps to
// its part of the total. Engines that come up report it one after the other, and a part of the
// first ones is less than one request. If that were rounded up, each gateway would send one to the
// same engine: 33 gateways sent 33 to the first engine of each group, which has 10 slots.
func (s *groupState) ownPart(q *Query, total, divisor float64) float64 {
	if s.opening(q) && s.load.down > 0 {
		return math.Floor(total / divisor)
	}
	return math.Ceil(total / divisor)
}

// followMaps sets the averaged work factor to the present one if that is lower while the group
// opens: the first expert maps lower it for good, and the average would show that only after the
// recovery.
func (s *groupState) followMaps(q *Query, factor float64) {
	if s.opening(q) && factor < s.workFactor {
		s.workFactor, s.workFactorAt = factor, q.Now
	}
}

// openingLate returns how many slots late requests of this process may use while a group opens:
// its part of those that the least urgent requests may use, without those that requests in time are
// going to use and one standard deviation of that number. Late requests that used all slots would
// keep the least urgent ones in time from any.
func (a *admission) openingLate() float64 {
	if a.throughput <= 0 || a.totals.OwnShare <= 0 {
		return 0
	}
	usable := 1.0
	for _, r := range a.totals.Ranks {
		usable = min(usable, a.slotShare(r.Urgency))
	}
	inTime := a.ownInTime / a.totals.OwnShare / a.throughput * a.capacity
	return max(0, usable*a.capacity-inTime-math.Sqrt(inTime)) * a.totals.OwnShare
}

// inTimeRate returns the rate of arrivals that were in time on arrival. After a start, it is that
// of the time since the first arrival.
func (r *requestStats) inTimeRate(now time.Time) float64 {
	seen := 1 - math.Exp(-now.Sub(r.firstArrival).Seconds()/arrivalWindow.Seconds())
	if r.firstArrival.IsZero() || seen <= 0 {
		return 0
	}
	return max(0, r.arrivals.perSecond(now)-r.lateArrivals.perSecond(now)) / seen
}
