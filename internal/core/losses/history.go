package losses

import (
	"time"

	"graniteknot.org/go/internal/core/explain"
)

// span is the time from one event to another.
type span struct{ from, to time.Time }

// groupHistory is the history of all groups by their keepers' lines.
type groupHistory struct {
	// holds are the times in which a step was held, loads those in which ranks loaded experts, and
	// slow those in which a rank reported that it is slow.
	holds, loads, slow []span
	// plans are the times at which maps were planned.
	plans []time.Time
}

// historyOf returns the history by lines in order of time.
func historyOf(lines []explain.Line) *groupHistory {
	g := &groupHistory{}
	var slowSince time.Time
	for i := range lines {
		l := &lines[i]
		switch l.Event {
		case "switch":
			g.addPhase(l)
		case "map planned":
			g.plans = append(g.plans, l.Time)
		case "slow ranks":
			if !slowSince.IsZero() {
				g.slow = append(g.slow, span{slowSince, l.Time})
				slowSince = time.Time{}
			}
			if l.Get("slowest") != "-1" {
				slowSince = l.Time
			}
		}
	}
	return g
}

// addPhase adds a phase that has ended.
func (g *groupHistory) addPhase(l *explain.Line) {
	s := span{l.Time.Add(-milliseconds(l.Get("former_took_ms"))), l.Time}
	switch l.Get("former") {
	case "holding", "arming", "releasing":
		g.holds = append(g.holds, s)
	case "preparing":
		g.loads = append(g.loads, s)
	}
}

// overlaps reports whether one of the spans overlaps with a time.
func (*groupHistory) overlaps(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
}

// planWithin reports whether a map was planned within a duration after a time.
func (g *groupHistory) planWithin(at time.Time, d time.Duration) bool {
	for _, p := range g.plans {
		if !p.Before(at) && p.Sub(at) <= d {
			return true
		}
	}
	return false
}
