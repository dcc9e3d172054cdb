package fleet

import (
	"math"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
)

// group is the engines of a service whose passes are made together: a lock-step group,
// or all engines that are in none. Each has room of its own: one that forms, loads
// experts or runs under an uneven map keeps nothing from the others. The table's lock
// guards it.
type group struct {
	name    string
	targets []*target
	// prompts bounds those that are sent.
	prompts bucket
	// factor is by how much longer than stated work took over the last seconds, noted
	// at.
	factor float64
	noted  time.Time
	// closed is since when the group tells that it does not run, zero where it runs or
	// tells nothing; opened is when it was first seen to take requests after that, zero for
	// never.
	closed, opened time.Time
}

// bucket holds how many prompt tokens may still be sent at a time; a prompt may take it
// below zero.
type bucket struct {
	left float64
	at   time.Time
}

// open tells whether a prompt may be sent where so many tokens a second may, and no
// more at once than fit into one pass.
func (b *bucket) open(perSecond float64, pass time.Duration, now time.Time) bool {
	if b.at.IsZero() {
		b.at, b.left = now, perSecond*pass.Seconds()
	}
	b.left = min(b.left+perSecond*now.Sub(b.at).Seconds(), perSecond*pass.Seconds())
	b.at = now
	return b.left > 0
}

// slowly takes in by how much longer than stated work takes now, and returns the
// mean of the last seconds: a shift of what is asked for is over before most of
// those who wait are served.
func (g *group) slowly(factor float64, now time.Time) float64 {
	if g.factor == 0 {
		g.factor = factor
	} else {
		weight := 1 - math.Exp(-now.Sub(g.noted).Seconds()/factorSpan.Seconds())
		g.factor += weight * (factor - g.factor)
	}
	g.noted = now
	return g.factor
}

// join puts a target into its group; called with the lock held.
func (t *Table) join(x *target) {
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

// quit takes a target out of its group; called with the lock held.
func (t *Table) quit(x *target) {
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

// standing is what is known of a group when a choice is made.
type standing struct {
	*group

	load groupLoad
	room room
	// own and all are the requests at usable engines, this process's and all; usable is
	// how many engines there are, slow ones counting less.
	own, all int
	usable   float64
}

// standings returns how a service's groups stand; called with the lock held.
func (t *Table) standings(q *Query) []standing {
	list := t.groups[q.Service.Name]
	out := make([]standing, len(list))
	for i, g := range list {
		out[i] = g.stand(q)
	}
	return out
}

func (g *group) stand(q *Query) standing {
	s := standing{group: g, load: loadOf(g.targets, q.Now)}
	if q.Service.Engine == nil {
		return s
	}
	s.room = roomOf(q.Service.Engine, q.MaxGap, &s.load)
	for _, x := range g.targets {
		if !s.takes(x, q.Now) {
			continue
		}
		s.usable += 1 / x.slower(s.load, q.Now)
		s.own += len(x.own)
		s.all += len(x.own) + x.others(q.Now)
	}
	g.note(s.usable > 0, s.load.closed > 0, q.Now)
	return s
}

// note takes in whether the group takes requests, and whether ranks tell that it does not
// run. A process that has just begun and finds it running has not seen it open.
func (g *group) note(takes, tells bool, now time.Time) {
	switch {
	case !takes && tells && g.closed.IsZero():
		g.closed = now
	case takes && !g.closed.IsZero():
		g.closed, g.opened = time.Time{}, now
	}
}

// takes tells whether an engine of the group may get requests.
func (s *standing) takes(x *target, now time.Time) bool {
	return x.takes(now) && !s.room.cripples(x.slower(s.load, now), s.load.running)
}

// total is how many requests the group may have.
func (s *standing) total() float64 { return s.room.writers() * s.usable }

// roomy returns the engines that may get one more request, if the group may. One that names a
// limit counts for the group's room all the same: work for tokens is spread over all ranks.
func (s *standing) roomy(q *Query, peers int, waiting bool) []*target {
	if s.usable == 0 || !s.admits(q, peers, waiting) {
		return nil
	}
	slots := float64(q.Service.Engine.Slots)
	var may []*target
	for _, x := range s.targets {
		busy := float64(len(x.own) + x.others(q.Now))
		if s.takes(x, q.Now) && x.permitted(q.Now) && busy < slots/x.slower(s.load, q.Now) && !slices.Contains(q.Tried, x.replica.Life()) {
			may = append(may, x)
		}
	}
	return may
}

// admits tells whether the group as a whole may get one more request: work for
// tokens is spread over all ranks, so where it is sent matters less than how much
// there is. Reports are late, and every gateway sees the same places fall free: where
// requests wait, or nothing is known yet, each keeps to its own part, so that a group
// that has just come back does not get from each of them what it bears in all.
func (s *standing) admits(q *Query, peers int, waiting bool) bool {
	r, all, total := &s.room, float64(s.all), s.total()
	if all+1 > total || q.late && all >= (1-reserved)*total {
		return false
	}
	opening := !s.opened.IsZero() && q.Now.Sub(s.opened) < openingFor
	parts := r.assumed || waiting && all > crowded*total || !opening && all > nearlyFull*total
	if parts && float64(s.own) >= math.Ceil(total/float64(peers)) {
		return false
	}
	if q.Service.Engine.ReadRate <= 0 || r.hopeless() {
		return true
	}
	return s.prompts.open(r.reading(all/s.usable, s.usable)/float64(peers), r.longest, q.Now)
}
