package fleet

import (
	"math"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
)

// group holds the engines of a service that make their passes together: a
// lock-step group, or all engines outside of any group. Capacity is computed per
// group, so that one that is starting, loading experts or running with an uneven
// map doesn't restrict the others. Guarded by the table's lock.
type group struct {
	name    string
	targets []*target
	// prefill limits the prompt tokens sent to the group.
	prefill tokenBucket
	// workFactor is the ratio of actual to nominal work time, averaged over the
	// last seconds; workFactorAt is when it was last updated.
	workFactor   float64
	workFactorAt time.Time
	// downSince is when the group began to report that it isn't running, zero
	// while it runs or reports nothing. upSince is when it was first seen to accept
	// requests after that, zero if never.
	downSince, upSince time.Time
}

// tokenBucket holds the prompt tokens that may still be sent. A single prompt may
// overdraw it.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// allow refills the bucket at perSecond, up to the tokens of one pass, and reports
// whether a prompt may be sent.
func (b *tokenBucket) allow(perSecond float64, pass time.Duration, now time.Time) bool {
	if b.refilled.IsZero() {
		b.refilled, b.tokens = now, perSecond*pass.Seconds()
	}
	b.tokens = min(b.tokens+perSecond*now.Sub(b.refilled).Seconds(), perSecond*pass.Seconds())
	b.refilled = now
	return b.tokens > 0
}

// smoothWorkFactor updates and returns the exponentially weighted mean of the work
// factor: a shift in demand is over before most queued requests are served.
func (g *group) smoothWorkFactor(factor float64, now time.Time) float64 {
	if g.workFactor == 0 {
		g.workFactor = factor
	} else {
		weight := 1 - math.Exp(-now.Sub(g.workFactorAt).Seconds()/workFactorWindow.Seconds())
		g.workFactor += weight * (factor - g.workFactor)
	}
	g.workFactorAt = now
	return g.workFactor
}

// joinGroup adds a target to its group. The caller holds the lock.
func (t *Table) joinGroup(x *target) {
	if t.groups == nil {
		t.groups = map[graniteknot.Service][]*group{}
	}
	s := x.replica.Service
	at := slices.IndexFunc(t.groups[s], func(g *group) bool { return g.name == x.replica.Group })
	if at < 0 {
		at = len(t.groups[s])
		t.groups[s] = append(t.groups[s], &group{name: x.replica.Group})
	}
	x.group = t.groups[s][at]
	x.group.targets = append(x.group.targets, x)
}

// leaveGroup removes a target from its group. The caller holds the lock.
func (t *Table) leaveGroup(x *target) {
	x.group.targets = without(x.group.targets, x)
	if len(x.group.targets) > 0 {
		return
	}
	s := x.replica.Service
	t.groups[s] = slices.DeleteFunc(t.groups[s], func(g *group) bool { return g == x.group })
	if len(t.groups[s]) == 0 {
		delete(t.groups, s)
	}
}

// groupState is a group's state at the time of a choice.
type groupState struct {
	*group

	load groupLoad
	// admission is nil unless the service is coordinated.
	admission *admission
	model     passModel
	// ownRequests and allRequests count the requests at usable engines, those of
	// this process and those of all. Slow engines count less in usableEngines.
	ownRequests, allRequests int
	usableEngines            float64
	// allowed is the same for the engines that the request may be sent to.
	allowed allowedPart
}

// groupStates returns the state of each group of a service. The caller holds the
// lock.
func (t *Table) groupStates(q *Query) []groupState {
	list := t.groups[q.Service.Name]
	out := make([]groupState, len(list))
	for i, g := range list {
		out[i] = g.state(q)
	}
	return out
}

func (g *group) state(q *Query) groupState {
	s := groupState{group: g, load: groupLoadOf(g.targets, q.Now)}
	if q.Service.Engine == nil {
		return s
	}
	s.model = passModelOf(q.Service.Engine, q.MaxGap, &s.load)
	for _, x := range g.targets {
		if !s.accepts(x, q.Now) {
			continue
		}
		engines, own, all := 1/x.relativePace(s.load, q.Now), len(x.own), len(x.own)+x.otherRequests(q.Now)
		s.usableEngines += engines
		s.ownRequests += own
		s.allRequests += all
		if q.competesIn().allows(x) {
			s.allowed.add(engines, own, all)
		}
	}
	g.noteRunning(s.usableEngines > 0, s.load.down > 0, q.Now)
	return s
}

// noteRunning records whether the group accepts requests and whether ranks report
// it as down. A process that has just started and finds it running hasn't seen it
// come up.
func (g *group) noteRunning(accepting, down bool, now time.Time) {
	switch {
	case !accepting && down && g.downSince.IsZero():
		g.downSince = now
	case accepting && !g.downSince.IsZero():
		g.downSince, g.upSince = time.Time{}, now
	}
}

// accepts reports whether an engine of the group may get requests.
func (s *groupState) accepts(x *target, now time.Time) bool {
	return x.accepts(now) && !s.model.stragglerTooSlow(x.relativePace(s.load, now), s.load.running)
}

// capacity returns how many requests the group may have at once.
func (s *groupState) capacity() float64 { return s.model.maxRequests() * s.usableEngines }

// availableEngines returns the engines that may get one more request; none if the
// group as a whole is full. Rate-limited engines still count towards the group's
// capacity, since decoding work is spread over all ranks.
func (s *groupState) availableEngines(q *Query, divisor float64, waiting bool) []*target {
	if s.usableEngines == 0 || !s.admits(q, divisor, waiting) {
		return nil
	}
	slots := float64(q.Service.Engine.Slots)
	var available []*target
	for _, x := range s.targets {
		busy := float64(len(x.own) + x.otherRequests(q.Now))
		if s.accepts(x, q.Now) && q.Allowed.allows(x) && x.hasPermit(q.Now) && busy < slots/x.relativePace(s.load, q.Now) && !slices.Contains(q.Tried, x.replica.Life()) {
			available = append(available, x)
		}
	}
	return available
}

// admits reports whether the group as a whole may get one more request: decoding
// work is spread over all ranks, so the total matters more than the rank it is sent
// to. Reports lag, and every gateway sees the same free slots. Each gateway
// therefore keeps to its own share while requests are queued or nothing is known
// yet: a group that has just come up must not get its full capacity from each.
// The share is the capacity divided by divisor.
func (s *groupState) admits(q *Query, divisor float64, waiting bool) bool {
	if float64(s.allRequests+1) > s.capacity() {
		return false
	}
	m, all, total := &s.model, float64(s.allowed.allRequests), s.allowedCapacity()
	if all+1 > total || !q.mayUse(all, total) || s.admission.withholds(s, q) {
		return false
	}
	shareOnly := m.assumed || waiting && all > crowdedShare*total || !s.justUp(q.Now) && all > nearlyFullShare*total
	if shareOnly && float64(s.allowed.ownRequests) >= s.ownPart(q, total, divisor) {
		return false
	}
	if q.Service.Engine.ReadRate <= 0 || m.gapUnattainable() {
		return true
	}
	return s.prefill.allow(m.prefillRate(float64(s.allRequests)/s.usableEngines, s.usableEngines)/divisor, m.maxPass, q.Now)
}
