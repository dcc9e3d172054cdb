package losses

import (
	"strconv"
	"time"

	"graniteknot.org/go/internal/core/explain"
)

// Cause is what became of a request.
type Cause string

// The causes of requests that are answered. Those that are not have the reason that
// their gateway gave, behind a prefix.
const (
	// CauseInTime is no loss.
	CauseInTime Cause = "in time"
	// CauseWaited is a first event that is late by the wait for room.
	CauseWaited Cause = "first late: waited"
	// CauseAgain is one that is late by an attempt that failed.
	CauseAgain Cause = "first late: second attempt"
	// CausePasses is one that is late by the passes until it came.
	CausePasses Cause = "first late: passes"
	// CauseMoved is a pause in which the stream went on at another replica.
	CauseMoved Cause = "pause late: moved"
	// CauseHeld is a pause in which a step was held for a switch.
	CauseHeld Cause = "pause late: step held"
	// CauseSlow is a pause while a rank told that it is slow.
	CauseSlow Cause = "pause late: slow rank"
	// CauseLoading is a pause while ranks loaded experts for the next map.
	CauseLoading Cause = "pause late: ranks load"
	// CauseSkew is a pause shortly before a map was planned that evens out a skew.
	CauseSkew Cause = "pause late: skew, map to come"
	// CauseStood is a pause that is so long that no pass took it.
	CauseStood Cause = "pause late: group stood"
	// CausePass is any other pause: a pass was too long for what ran.
	CausePass Cause = "pause late: long pass"
)

// What is lost is told with the reason that ended it.
const (
	refusedPrefix = "refused: "
	lostPrefix    = "lost: "
)

const (
	// stood is how long a pause is that no pass takes.
	stood = 500 * time.Millisecond
	// planned is how long after a shift the next map is planned.
	planned = 400 * time.Millisecond
)

// causeOf finds the cause of a request from its last line, the longest wait of its
// attempts, and what its group did.
func causeOf(l *explain.Line, waited time.Duration, g *groupHistory) Cause {
	switch {
	case l.Event == "refused":
		return refusedPrefix + Cause(l.Get("reason"))
	case l.Get("outcome") == "not-run":
		return refusedPrefix + Cause(l.Get("reason"))
	case l.Get("outcome") != "answered":
		return lostPrefix + Cause(l.Get("reason"))
	}
	switch l.Get("late") {
	case "":
		return CauseInTime
	case "first", "both":
		return firstLate(l, waited)
	}
	return pauseLate(l, g)
}

func firstLate(l *explain.Line, waited time.Duration) Cause {
	first, aim := milliseconds(l.Get("first_ms")), milliseconds(l.Get("aim_ms"))
	switch {
	case waited > 0 && first-waited <= aim:
		return CauseWaited
	case l.Get("attempts") != "1":
		return CauseAgain
	case waited > first/2:
		return CauseWaited
	}
	return CausePasses
}

func pauseLate(l *explain.Line, g *groupHistory) Cause {
	pause := milliseconds(l.Get("pause_ms"))
	end := l.Time.Add(milliseconds(l.Get("pause_at_ms")) - milliseconds(l.Get("took_ms")))
	begin := end.Add(-pause)
	switch {
	case l.Get("attempts") != "1":
		return CauseMoved
	case g.during(g.holds, begin, end):
		return CauseHeld
	case pause > stood:
		return CauseStood
	case g.during(g.slow, begin, end):
		return CauseSlow
	case g.during(g.loads, begin, end):
		return CauseLoading
	case g.planWithin(end, planned):
		return CauseSkew
	}
	return CausePass
}

// milliseconds reads a figure of a line; 0 where there is none.
func milliseconds(text string) time.Duration {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(v * float64(time.Millisecond))
}
