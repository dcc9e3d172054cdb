package fleet

import (
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Query is what a replica is chosen for.
type Query struct {
	Service *catalog.Service
	Size    catalog.Size
	Urgency catalog.Urgency
	// MaxGap is the longest useful pause between events; 0 is no bound.
	MaxGap time.Duration
	// Tried are not chosen again while others are left.
	Tried []catalog.Life
	// Zone is preferred among equals.
	Zone graniteknot.AvailabilityZone
	Now  time.Time
	// RequestedAt is when the choice was first asked for.
	RequestedAt time.Time
	// late requests can't be in time any more.
	late bool
}

// Pick chooses a replica and takes a place there; nil when there is none.
func (t *Table) Pick(q *Query) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.want(q.Service.Name, q.Now)
	best := t.plain(q)
	if best == nil {
		return nil
	}
	return t.lease(best, q)
}

// plain returns the best usable replica, or where none is the best that may be asked at all;
// called with the lock held.
func (t *Table) plain(q *Query) *target {
	may := func(x *target) bool { return x.permitted(q.Now) && !slices.Contains(q.Tried, x.replica.Life()) }
	if best := t.best(q, func(x *target) bool { return x.usable(q.Now) && may(x) }); best != nil {
		return best
	}
	return t.best(q, func(x *target) bool { return !x.barred(q.Now) && may(x) })
}

func (t *Table) best(q *Query, may func(*target) bool) *target {
	var list []*target
	for _, x := range t.services[q.Service.Name] {
		if may(x) {
			list = append(list, x)
		}
	}
	return cheapest(list, q, t.standings(q))
}

// cheapest returns the target with the least cost; nil when there is none.
func cheapest(list []*target, q *Query, standings []standing) *target {
	var best *target
	least := 0.0
	for _, x := range list {
		cost := x.cost(q, x.standing(standings)) + jitter()
		if x.limited() {
			cost -= lapsing
		}
		if best == nil || cost < least {
			best, least = x, cost
		}
	}
	return best
}

// lapsing is what a replica costs less that this process has a permit for, which lapses soon:
// between equal ones it is chosen.
const lapsing = 0.01

func (t *Table) lease(x *target, q *Query) *Lease {
	l := &Lease{Replica: x.replica, Inputs: t.inputs(x, q), table: t, target: x, size: q.Size, sent: q.Now, engine: q.Service.Engine, gap: q.MaxGap}
	if x.failures >= patience || x.word != nil && x.word.unproved {
		l.trial, x.trial = true, true
	}
	if x.cutOff {
		l.risked, x.risked = true, q.Now
	}
	if x.limited() && x.word.limit.part.Take(q.Now) {
		l.permit, l.Inputs.Permit = q.Now, true
	}
	x.own[l] = struct{}{}
	if q.Service.Engine != nil {
		x.group.prompts.left -= float64(q.Size.Prompt)
	}
	return l
}

// inputs tells what a choice was made on.
func (t *Table) inputs(x *target, q *Query) Inputs {
	in := Inputs{Own: len(x.own), Others: x.others(q.Now), Pass: x.load.Pass, Probe: x.failures >= patience}
	if !x.load.Taken.IsZero() {
		in.ReportAge = q.Now.Sub(x.load.Taken)
	}
	if !q.RequestedAt.IsZero() {
		in.Waited = q.Now.Sub(q.RequestedAt)
	}
	if q.Service.Engine != nil {
		s := x.group.stand(q)
		in.Capacity, in.Skew = int(s.room.writers()), s.load.forecast.Skew
	}
	return in
}

// standing returns how the target's group stands; nil where that is not told.
func (t *target) standing(list []standing) *standing {
	for i := range list {
		if list[i].group == t.group {
			return &list[i]
		}
	}
	return nil
}

// cost orders replicas for a request; the least is chosen. Between groups it evens out
// how long passes are: the requests of one whose work takes twice as long count twice.
func (t *target) cost(q *Query, s *standing) float64 {
	busy := float64(len(t.own) + t.others(q.Now))
	if q.Service.Engine != nil {
		work := busy + 1 + float64(t.reading())/float64(max(1, q.Service.Engine.Chunk))
		return work * t.slower(s.load, q.Now) * s.room.factor
	}
	zone := 0.0
	if t.replica.Zone != q.Zone {
		zone = 0.2
	}
	return (busy+1)*max(t.latency.Seconds(), 0.01) + zone*0.01
}
