package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// gapShare is the share of the longest useful pause that a pass may take; the rest
	// covers the way to the caller and prediction errors.
	gapShare = 0.90
	// minRequests is how many requests an engine gets however slow it is.
	minRequests = 2
	// minRunningToObserve is the mean number of requests that engines with experts
	// must run for pass times to show the imbalance of the work.
	minRunningToObserve = 1.5
	// expertLoadingFactor is how much longer passes take while ranks load experts,
	// as documented by the platform.
	expertLoadingFactor = 1.15
	// assumedSkew is the skew of a group of which nothing is known, as after a start,
	// until its keeper or its passes show it: about the largest under the expert map
	// that groups start with.
	assumedSkew = 3.5
	// stragglerPace is how many times slower than the fastest a rank must be for
	// predictions to use observed pass times instead of the group's skew.
	stragglerPace = 1.2
)

// passModel predicts the pass times of a group of engines. A pass takes a fixed time
// plus the time of all ranks' decoding and prefill, scaled by the imbalance of that
// work. A stream spans many passes, and one pass that is too long delays it and all
// others of the group.
type passModel struct {
	engine *catalog.Engine
	// maxPass is how long a pass may take for pauses to be useful; 0 is unbounded.
	maxPass time.Duration
	// workFactor is the ratio of actual to nominal work time.
	workFactor float64
	// assumed reports whether nothing shows the work factor, so that it is that of
	// assumedSkew.
	assumed bool
	// noForecast reports whether the group has experts and no keeper's forecast.
	noForecast bool
	// loadingFactor is how much longer whole passes take now.
	loadingFactor float64
}

// passModelOf builds the model of a group from its replicas' reports.
func passModelOf(e *catalog.Engine, gap time.Duration, g *groupLoad) passModel {
	f := g.forecast
	m := passModel{
		engine: e, maxPass: time.Duration(gapShare * float64(gap)),
		workFactor: skewFactor(e, f.Skew), loadingFactor: 1,
	}
	if f.Loading {
		m.loadingFactor = expertLoadingFactor
	}
	m.noForecast = e.Experts != nil && f.Skew <= 0
	if f.Skew <= 0 || g.slowest > stragglerPace*g.fastest {
		m.workFactor = observedWorkFactor(e, g)
	}
	if m.workFactor <= 0 {
		m.workFactor, m.assumed = skewFactor(e, assumedSkew), true
	}
	return m
}

// observedWorkFactor derives the work factor from pass times; 0 if too little runs to
// show it.
func observedWorkFactor(e *catalog.Engine, g *groupLoad) float64 {
	work := max(g.running, 1) * float64(perRequest(e))
	observable := g.pass > 0 && (e.Experts == nil || g.running >= minRunningToObserve)
	switch {
	case work <= 0 || !observable && e.Experts == nil:
		return 1
	case !observable:
		return 0
	}
	return max(1, float64(g.pass-e.Bare())/work)
}

// workPerPass returns how much decoding and prefill of each engine fits into a pass,
// in nominal time.
func (m *passModel) workPerPass() time.Duration {
	return time.Duration((float64(m.maxPass)/m.loadingFactor - float64(m.engine.Bare())) / m.workFactor)
}

// gapUnattainable reports whether no pause can be useful, however few the requests;
// then slots bound the capacity, to answer as many as possible. It is false for a group
// with experts but no forecast: right after a group comes up, pass times are compared
// with older counts of running requests.
func (m *passModel) gapUnattainable() bool {
	if m.maxPass <= 0 || m.engine.PerWriter <= 0 {
		return true
	}
	return !m.noForecast && m.workPerPass() < minRequests*m.engine.Writing()
}

// maxRequests returns how many requests each engine may have at once.
func (m *passModel) maxRequests() float64 {
	slots := float64(m.engine.Slots)
	if m.gapUnattainable() {
		return slots
	}
	return min(max(float64(m.workPerPass())/float64(m.perRequest()), minRequests), slots)
}

// perRequest returns the nominal work of a usual request in a pass: its decoding, and
// its part of the prefill of the request that follows it.
func (m *passModel) perRequest() time.Duration { return perRequest(m.engine) }

func perRequest(e *catalog.Engine) time.Duration {
	return e.Writing() + e.Reading(e.Usual.Prompt)/time.Duration(e.Passes())
}

// passTime returns the duration of a pass with n requests at each engine.
func (m *passModel) passTime(n float64) time.Duration {
	return m.engine.Bare() + time.Duration(n*float64(m.perRequest())*max(m.workFactor, 1))
}

// stragglerTooSlow reports whether a rank that is slower times slower than the fastest
// makes passes too long with a single request of its own. The group waits for the
// slowest rank's own part of a pass, which a rank without requests doesn't have.
func (m *passModel) stragglerTooSlow(pace, running float64) bool {
	if pace <= stragglerPace || m.engine.Experts == nil || m.maxPass <= 0 || m.assumed {
		return false
	}
	own := time.Duration(pace * float64(m.engine.Bare()+m.engine.Writing()))
	return own+m.passTime(running)-m.engine.Bare() > m.maxPass
}

// prefillRate returns how many prompt tokens a second all engines together may read
// while each decodes so many requests.
func (m *passModel) prefillRate(decoding, engines float64) float64 {
	left := float64(m.workPerPass()) - decoding*float64(m.engine.Writing())
	return max(0, left) / float64(m.maxPass) * engines * m.engine.ReadRate
}

// groupLoad aggregates the reports of a group's engines.
type groupLoad struct {
	pass    time.Duration
	running float64
	// down is how many report that the group isn't running.
	down int
	// fastest and slowest are the paces of the fastest and the slowest replica; 0 if
	// unknown.
	fastest, slowest float64
	forecast         Forecast
}

// groupLoadOf aggregates the recent reports of a group's replicas. The caller holds
// the table's lock.
func groupLoadOf(list []*target, now time.Time) groupLoad {
	var out groupLoad
	n := 0
	for _, x := range list {
		if x.load.Taken.IsZero() || now.Sub(x.load.Taken) > maxReportAge {
			continue
		}
		n++
		if x.load.GroupDown {
			out.down++
		}
		out.pass = max(out.pass, x.load.Pass)
		out.running += float64(x.load.Running)
		if p := x.load.Pace; p > 0 && (out.fastest == 0 || p < out.fastest) {
			out.fastest = p
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

// relativePace returns how many times slower than the fastest replica of its group
// the target is by its own report; at least 1. A lock-step group waits for its
// slowest rank, whose own part grows with its requests, so these go elsewhere.
func (t *target) relativePace(g groupLoad, now time.Time) float64 {
	if g.fastest <= 0 || t.load.Pace <= g.fastest || now.Sub(t.load.Taken) > maxReportAge {
		return 1
	}
	return t.load.Pace / g.fastest
}
