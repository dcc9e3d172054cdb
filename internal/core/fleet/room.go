package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// gapShare is the part of the longest useful pause that passes are meant to
	// take; the rest is for the way to the caller, and for what is not foretold.
	gapShare = 0.90
	// leastWriters is how many requests an engine gets however slow it is.
	leastWriters = 2
	// fewRunning is how many requests engines with experts have to have, at the mean,
	// for a pass to tell how uneven its work is.
	fewRunning = 1.5
	// loadingShare is by how much longer passes take while ranks load experts, as
	// the platform states it.
	loadingShare = 1.15
	// firstSkew is taken for the skew of a group of which nothing is known, as after a
	// start, until its keeper or its passes tell: about the largest under the map that groups
	// begin with.
	firstSkew = 3.5
	// slowPace is how many times slower than the fastest a replica has to be for
	// passes to be foretold by how long they take, and not by the skew of the group.
	slowPace = 1.2
)

// room foretells how long the passes of a group of engines take. A pass takes a time of
// its own, and as much longer as all ranks' writing and reading asks for, times
// what unevenness makes of it. A stream lives for many passes, and a single one
// that is too long makes it late, together with all others of the group.
type room struct {
	engine *catalog.Engine
	// longest is how long a pass may take for pauses to be useful; 0 is no bound.
	longest time.Duration
	// factor is by how much longer than stated work takes now.
	factor float64
	// assumed tells that nothing shows the factor, so that it is that of firstSkew.
	assumed bool
	// guessed tells that no keeper told the factor of a group with experts.
	guessed bool
	// loading is by how much longer whole passes take now.
	loading float64
}

// roomOf returns what is known of a group's passes from its replicas' reports.
func roomOf(e *catalog.Engine, gap time.Duration, g *groupLoad) room {
	f := g.forecast
	r := room{
		engine: e, longest: time.Duration(gapShare * float64(gap)),
		factor: factor(e, f.Skew), loading: 1,
	}
	if f.Loading {
		r.loading = loadingShare
	}
	r.guessed = e.Experts != nil && f.Skew <= 0
	if f.Skew <= 0 || g.slowest > slowPace*g.pace {
		r.factor = seenFactor(e, g)
	}
	if r.factor <= 0 {
		r.factor, r.assumed = factor(e, firstSkew), true
	}
	return r
}

// seenFactor is by how much longer than stated work takes, by how long passes take;
// 0 when none are made.
func seenFactor(e *catalog.Engine, g *groupLoad) float64 {
	work := max(g.running, 1) * float64(each(e))
	telling := g.pass > 0 && (e.Experts == nil || g.running >= fewRunning)
	switch {
	case work <= 0 || !telling && e.Experts == nil:
		return 1
	case !telling:
		return 0
	}
	return max(1, float64(g.pass-e.Bare())/work)
}

// work is how much writing and reading of each engine fits into a pass, were all
// work even.
func (r *room) work() time.Duration {
	return time.Duration((float64(r.longest)/r.loading - float64(r.engine.Bare())) / r.factor)
}

// hopeless tells that no pause can be useful, with however few requests. Then what
// is left is to answer many. Right after a group has begun to run, passes seen
// beside older reports of what runs do not tell that.
func (r *room) hopeless() bool {
	if r.longest <= 0 || r.engine.PerWriter <= 0 {
		return true
	}
	return !r.guessed && r.work() < leastWriters*r.engine.Writing()
}

// writers is how many requests each engine may have at once.
func (r *room) writers() float64 {
	slots := float64(r.engine.Slots)
	if r.hopeless() {
		return slots
	}
	return min(max(float64(r.work())/float64(r.each()), leastWriters), slots)
}

// each is what a usual request asks of a pass, were all work even: its writing, and
// its part of reading a prompt for each that ends.
func (r *room) each() time.Duration { return each(r.engine) }

func each(e *catalog.Engine) time.Duration {
	return e.Writing() + e.Reading(e.Usual.Prompt)/time.Duration(e.Passes())
}

// pass is how long one takes with n requests at each engine.
func (r *room) pass(n float64) time.Duration {
	return r.engine.Bare() + time.Duration(n*float64(r.each())*max(r.factor, 1))
}

// cripples tells whether a rank that is so many times slower than the fastest makes
// passes too long by a single request of its own: the group waits for the slowest
// rank's own part of a pass, which one without requests does not have.
func (r *room) cripples(slower, running float64) bool {
	if slower <= slowPace || r.engine.Experts == nil || r.longest <= 0 || r.assumed {
		return false
	}
	own := time.Duration(slower * float64(r.engine.Bare()+r.engine.Writing()))
	return own+r.pass(running)-r.engine.Bare() > r.longest
}

// reading is how many prompt tokens a second all engines together may read beside
// so many requests that write at each.
func (r *room) reading(writers, engines float64) float64 {
	left := float64(r.work()) - writers*float64(r.engine.Writing())
	return max(0, left) / float64(r.longest) * engines * r.engine.ReadRate
}

// groupLoad sums up the reports of a group's engines.
type groupLoad struct {
	pass    time.Duration
	running float64
	// closed is how many tell that the group does not run.
	closed int
	// pace is that of the fastest replica, slowest that of the slowest; 0 is
	// unknown.
	pace, slowest float64
	forecast      Forecast
}

// loadOf sums up the fresh reports of a group's replicas; called with the table's lock
// held.
func loadOf(list []*target, now time.Time) groupLoad {
	var out groupLoad
	n := 0
	for _, x := range list {
		if x.load.Taken.IsZero() || now.Sub(x.load.Taken) > reportAge {
			continue
		}
		n++
		if x.load.GroupDown {
			out.closed++
		}
		out.pass = max(out.pass, x.load.Pass)
		out.running += float64(x.load.Running)
		if p := x.load.Pace; p > 0 && (out.pace == 0 || p < out.pace) {
			out.pace = p
		}
		out.slowest = max(out.slowest, x.load.Pace)
		if x.load.Forecast.newer(out.forecast) {
			out.forecast = x.load.Forecast
		}
	}
	if n > 0 {
		out.running /= float64(n)
	}
	return out
}

// slower is how many times slower than the fastest replica of its service one
// is, by its own report; at least 1. In a lock-step group all wait for the
// slowest, whose own part grows with the requests it has: those go elsewhere.
func (t *target) slower(g groupLoad, now time.Time) float64 {
	if g.pace <= 0 || t.load.Pace <= g.pace || now.Sub(t.load.Taken) > reportAge {
		return 1
	}
	return t.load.Pace / g.pace
}
