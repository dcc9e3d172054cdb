package losses

import (
	"time"

	"graniteknot.org/go/internal/core/explain"
)

// span is a time from one event to another.
type span struct{ from, to time.Time }

// groupHistory is what the keepers' lines tell of all groups.
type groupHistory struct {
	// holds are when a step was held, loads when ranks loaded experts, and slow when
	// a rank told that it is slow.
	holds, loads, slow []span
	// plans are when maps were planned.
	plans []time.Time
}

// historyOf reads lines that are in order of time.
func historyOf(lines []explain.Line) *groupHistory {
	g := &groupHistory{}
	var slowSince time.Time
	for i := range lines {
		l := &lines[i]
		switch l.Event {
		case "switch":
			g.phase(l)
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

// phase takes in a phase that has ended.
func (g *groupHistory) phase(l *explain.Line) {
	s := span{l.Time.Add(-milliseconds(l.Get("former_took_ms"))), l.Time}
	switch l.Get("former") {
	case "holding", "arming", "releasing":
		g.holds = append(g.holds, s)
	case "preparing":
		g.loads = append(g.loads, s)
	}
}

// during tells whether one of some spans covers a part of a time.
func (*groupHistory) during(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
}

// planWithin tells whether a map was planned shortly after a time.
func (g *groupHistory) planWithin(at time.Time, d time.Duration) bool {
	for _, p := range g.plans {
		if !p.Before(at) && p.Sub(at) <= d {
			return true
		}
	}
	return false
}
