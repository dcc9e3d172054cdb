package explain

import (
	"slices"
	"time"
)

const (
	// leadTime and trailTime are how long before and after a request other events may concern it.
	leadTime  = 3 * time.Second
	trailTime = 200 * time.Millisecond
)

// History is what the logs contain on one request.
type History struct {
	Request string
	// Lines are the request's own and those of events that concern it, in order of time.
	Lines []Line
	// Stream describes the request's stream, by attempt; empty if it had none.
	Stream []string
	// Cause explains in a sentence why the request ended as it did.
	Cause string
}

// Request returns the history of a request; false if no line names it.
func Request(lines []Line, request string) (History, bool) {
	s := History{Request: request}
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
	s.Stream = stream(own)
	s.Cause = cause(own, s.Lines)
	return s, true
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// concerns reports whether an event concerns a request: it changes the state of the request's
// gateway, or that of a replica that the request was sent to, or stalls that replica's group.
func concerns(l *Line, own []Line) bool {
	first, last := span(own)
	if l.Time.Before(first.Add(-leadTime)) || l.Time.After(last.Add(trailTime)) {
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

// span returns the start and the end of a request.
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

// slowPhase is the longest usual duration of a phase in which a group may stall.
const slowPhase = 150 * time.Millisecond

// slow reports whether a switch stayed longer than usual in a phase in which the group may stall.
func slow(l *Line) bool {
	switch l.Get("former") {
	case "holding", "arming", "releasing", "closed":
		took, err := time.ParseDuration(l.Get("former_took_ms") + "ms")
		return err == nil && took > slowPhase
	}
	return false
}
