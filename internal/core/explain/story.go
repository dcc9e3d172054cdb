package explain

import (
	"slices"
	"time"
)

const (
	// before and after are how long around a request other events matter to it.
	before = 3 * time.Second
	after  = 200 * time.Millisecond
)

// Story is what the logs tell of one request.
type Story struct {
	Request string
	// Lines are in order of time: the request's own and those of what it
	// depended on.
	Lines []Line
	// Cause says in a sentence why the request ended as it did.
	Cause string
}

// Tell finds the story of a request; false when no line names it.
func Tell(lines []Line, request string) (Story, bool) {
	s := Story{Request: request}
	for _, l := range lines {
		if l.Get("request") == request {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return s, false
	}
	sortByTime(s.Lines)
	own := slices.Clone(s.Lines)
	for _, l := range lines {
		if l.Get("request") == "" && concerns(&l, own) {
			s.Lines = append(s.Lines, l)
		}
	}
	sortByTime(s.Lines)
	s.Cause = cause(own, s.Lines)
	return s, true
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// concerns tells whether an event matters to a request: it changes what the
// request's gateway believes, or touches a replica that it was sent to, or holds
// that replica's group.
func concerns(l *Line, own []Line) bool {
	first, last := span(own)
	if l.Time.Before(first.Add(-before)) || l.Time.After(last.Add(after)) {
		return false
	}
	switch l.Event {
	case "store lost", "store regained", "configuration", "configuration age", "leaving", "started", "reloaded", "log lines dropped":
		return slices.ContainsFunc(own, func(o Line) bool { return o.Box == l.Box })
	case "replica", "replica gone", "replica lapsed":
		return slices.ContainsFunc(own, func(o Line) bool { return o.Box == l.Box && o.Get("replica") == l.Get("replica") })
	case "keeping", "not keeping", "target":
		return true
	case "switch":
		return slow(l)
	}
	return false
}

// span returns when a request began and ended.
func span(own []Line) (first, last time.Time) {
	first, last = own[0].Time, own[len(own)-1].Time
	for _, l := range own {
		for _, name := range []string{"took_ms", "since_arrival_ms"} {
			if took, err := time.ParseDuration(l.Get(name) + "ms"); err == nil && l.Time.Add(-took).Before(first) {
				first = l.Time.Add(-took)
			}
		}
	}
	return first, last
}

// slowPhase is how long a phase in which a group may stand takes at most when
// all is well.
const slowPhase = 150 * time.Millisecond

// slow tells whether a switch kept the group for long in a phase in which it may
// stand.
func slow(l *Line) bool {
	switch l.Get("former") {
	case "holding", "arming", "releasing", "closed":
		took, err := time.ParseDuration(l.Get("former_took_ms") + "ms")
		return err == nil && took > slowPhase
	}
	return false
}
