package fleet

import (
	"math"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/demand"
	"graniteknot.org/go/internal/core/presence"
)

// floorShare is the part of an urgency's share of the capacity that more urgent requests cannot
// take from it: no urgency is served less than a third as often as all requests together.
const floorShare = 1.0 / 3

// leastUrgentShare is the share of the slots that requests use of which half of the demand or more is
// more urgent; others get a share in between. Reports are late, so that engines get more requests than they have
// slots, and the most urgent requests would wait inside engines behind less urgent ones. In
// simulations of 1.3 and 1.5 times the demand the most urgent earned 0.94 of what they are owed
// without this bound, 0.96 and 0.95 with it. At 0.8 the middle urgency at times earned 0.021 less
// than the least urgent at the usual demand.
const (
	leastUrgentShare = 0.75
	fullEffectDemand = 0.5
)

// lateFloor is the share of the slots that late requests may always use, relative to their share of
// the arrivals. Without it they get nothing at full load, and callers whose first try was refused are
// lost. maxLateFloor bounds it where many requests are late, as after an outage, and leaves two thirds
// of the slots to those in time, like the floor of an urgency.
const (
	lateFloor    = 2
	maxLateFloor = floorShare
)

// minArrivals is the arrival rate, of all gateways, below which an urgency counts as absent:
// a single request decays below it in 1.6 s.
const minArrivals = 0.2

// firstEventPasses is how many passes a first event takes at most where the request doesn't wait
// inside its engine: the rest of the current pass, and the one that reads its prompt.
const firstEventPasses = 2

// admission is what the admission of requests to a coordinated service is decided by at one
// time. Counts and rates are those of all gateways unless they are called own.
type admission struct {
	totals demand.Totals
	// capacity is how many requests the groups may have at once, throughput how many they
	// answer in a second.
	capacity, throughput float64
	// opening reports whether all groups that run have just come up; ownInTime is then how many
	// requests in time this process gets in a second.
	opening   bool
	ownInTime float64
	// unseen is the time for which requests of other gateways are not yet visible.
	unseen time.Duration
	// ownRunning counts own requests by urgency, in the order of totals.Ranks; ownLate counts
	// those that were sent too late to be in time.
	ownRunning []int
	ownLate    int
	// lateShare is the share of arriving requests that are already late, as returning ones are.
	lateShare float64
}

// admissionOf returns the admission to a service; nil unless it is coordinated and the demand
// is known. The caller holds the lock.
func (t *Table) admissionOf(q *Query, states []groupState) *admission {
	totals, inTime := t.demandFor(q.Service, q.Now), t.statsOf(q.Service.Name).inTimeRate(q.Now)
	if !totals.Known {
		return nil
	}
	// The last one is used again: a new one for each choice would be most of what it allocates.
	a := &t.statsOf(q.Service.Name).admission
	if q.competesIn().Restricted {
		a = &admission{}
		part := partOf(states)
		totals, inTime = partOfDemand(totals, part), inTime*part
	}
	*a = admission{totals: totals, unseen: t.unseenTime(), ownRunning: a.ownRunning[:0], lateShare: t.lateShare(q), ownInTime: inTime}
	t.statsOf(q.Service.Name).unqueuedFirstEvent = a.addGroups(q, states)
	t.countOwn(q, a)
	return a
}

// addGroups adds the capacity of groups, and returns how long a first event takes at most in them.
func (a *admission) addGroups(q *Query, states []groupState) time.Duration {
	first, running := time.Duration(0), false
	for i := range states {
		a.capacity += states[i].allowedCapacity()
		a.throughput += states[i].throughput(q)
		running = running || states[i].capacity() > 0 && !states[i].opening(q)
		a.opening = a.opening || states[i].opening(q)
		first = max(first, firstEventPasses*states[i].model.passTime(states[i].model.maxRequests()))
	}
	a.opening = a.opening && !running
	return first
}

// countOwn counts the requests of this process by urgency. The caller holds the lock.
func (t *Table) countOwn(q *Query, a *admission) {
	for range a.totals.Ranks {
		a.ownRunning = append(a.ownRunning, 0)
	}
	for _, x := range t.services[q.Service.Name] {
		if !q.competesIn().allows(x) {
			continue
		}
		for l := range x.own {
			for i := range a.totals.Ranks {
				if a.totals.Ranks[i].Urgency == l.urgency {
					a.ownRunning[i]++
				}
			}
			if l.late {
				a.ownLate++
			}
		}
	}
}

// coordinate sets the admission in the groups' states. The caller holds the lock.
func (t *Table) coordinate(q *Query, states []groupState) {
	a := t.admissionOf(q, states)
	for i := range states {
		states[i].admission = a
	}
}

// reserve returns how many slots requests of an urgency leave to more urgent ones: as many as
// arrive before reports show them, one standard deviation of that number, and those queued. It
// is 0 where no more urgent request arrived within the last seconds.
func (a *admission) reserve(u catalog.Urgency) float64 {
	arriving, queued := 0.0, 0
	for _, r := range a.totals.Ranks {
		if r.Urgency < u && r.Arrivals >= minArrivals {
			arriving += r.Arrivals * a.unseen.Seconds()
			queued += r.Queued
		}
	}
	return arriving + math.Sqrt(arriving) + float64(queued)
}

// Reserved returns how many slots of a coordinated service its least urgent requests leave to
// more urgent ones; 0 for other services and while the demand is unknown.
func (t *Table) Reserved(s *catalog.Service, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ranks := t.demandFor(s, now).Ranks
	if len(ranks) == 0 {
		return 0
	}
	return t.reserved(s, ranks[len(ranks)-1].Urgency, now)
}

// reserved returns how many slots are reserved for requests more urgent than u. The caller holds
// the lock.
func (t *Table) reserved(s *catalog.Service, u catalog.Urgency, now time.Time) int {
	a := admission{totals: t.demandFor(s, now), unseen: t.unseenTime()}
	return int(a.reserve(u))
}

// unseenTime returns for how long requests of other gateways are not yet visible: until a replica
// reports them, or a heartbeat tells of them.
func (t *Table) unseenTime() time.Duration {
	return min(t.reportPeriod(), presence.RelayedReportInterval) + presence.HeartbeatInterval/2
}

// belowFloor reports whether an urgency uses less of the capacity than is always left to it.
// Each gateway holds its own part of that.
func (a *admission) belowFloor(u catalog.Urgency) bool {
	arrivals, running, own, all := 0.0, 0, 0, 0.0
	for i, r := range a.totals.Ranks {
		all += r.Arrivals
		if r.Urgency == u {
			arrivals, running, own = r.Arrivals, r.Running, a.ownRunning[i]
		}
	}
	if all <= 0 {
		return false
	}
	floor := floorShare * a.capacity * arrivals / all
	return float64(running) < floor && float64(own) < floor*a.totals.OwnShare
}

// spareShare returns the share of the throughput that late requests may use: what requests in time
// are expected to leave over, and at least the late ones' floor.
func (a *admission) spareShare() float64 {
	if a.throughput <= 0 {
		return 0
	}
	arrivals := 0.0
	for _, r := range a.totals.Ranks {
		arrivals += r.Arrivals
	}
	return max(min(maxLateFloor, lateFloor*a.lateShare), 1-arrivals*(1-a.lateShare)/a.throughput)
}

// lateExhausted reports whether late requests of this gateway use all that they may: if they filled
// the slots, newcomers would be late too, and so would be all callers for seconds after a burst.
func (a *admission) lateExhausted() bool {
	if a.opening {
		return float64(a.ownLate) >= a.openingLate()
	}
	return float64(a.ownLate) >= a.spareShare()*a.capacity*a.totals.OwnShare
}

// slotShare returns the share of the slots that requests of an urgency may use: the fewer of the
// others are more urgent, the fewer would wait inside engines behind them.
func (a *admission) slotShare(u catalog.Urgency) float64 {
	moreUrgent, all := 0.0, 0.0
	for _, r := range a.totals.Ranks {
		all += r.Arrivals
		if r.Urgency < u {
			moreUrgent += r.Arrivals
		}
	}
	if all <= 0 {
		return 1
	}
	return 1 - (1-leastUrgentShare)*min(1, moreUrgent/all/fullEffectDemand)
}

// withholds reports whether a group's free slots are withheld from a request, for more urgent
// ones or for those that can be in time. A nil admission withholds none.
func (a *admission) withholds(s *groupState, q *Query) bool {
	if a == nil || a.capacity <= 0 {
		return false
	}
	if q.late {
		if a.lateExhausted() {
			return true
		}
	} else if a.belowFloor(q.Urgency) {
		return false
	}
	free := min(a.slotShare(q.Urgency), 1-a.reserve(q.Urgency)/a.capacity)
	return float64(s.allowed.allRequests+1) > free*s.allowedCapacity()
}

// lateShare returns the share of this process's arriving requests that are late on arrival. The
// caller holds the lock.
func (t *Table) lateShare(q *Query) float64 {
	stats := t.statsOf(q.Service.Name)
	all := stats.arrivals.perSecond(q.Now)
	if all <= 0 {
		return 0
	}
	return min(1, stats.lateArrivals.perSecond(q.Now)/all)
}

// noteLate marks a request that has arrived too late to be in time. The caller holds the lock.
func (t *Table) noteLate(q *Query, bounds WaitBounds) {
	if !t.demandFor(q.Service, q.Now).Known {
		return
	}
	stats := t.statsOf(q.Service.Name)
	if q.late = !q.Promised && !bounds.FirstEventBy.After(q.Now.Add(t.expectedFirstEvent(q.Service, q.Now))); q.late {
		stats.lateArrivals.add(q.Now)
	}
}

// expectedFirstEvent returns how long a request sent now takes to its first event. For
// coordinated services it is at most what passes alone take: the observed time includes waits
// inside engines, and if it exceeds the latency target of the most urgent callers, all of them
// are refused and none is left to show that it has become shorter. The caller holds the lock.
func (t *Table) expectedFirstEvent(s *catalog.Service, now time.Time) time.Duration {
	stats := t.statsOf(s.Name)
	expected := stats.firstEvent.expected()
	if stats.unqueuedFirstEvent > 0 && t.demandFor(s, now).Known {
		return min(expected, stats.unqueuedFirstEvent)
	}
	return expected
}
