package losses

import (
	"strconv"
	"time"

	"graniteknot.org/go/internal/core/explain"
)

// Cause is why a request was lost or late.
type Cause string

// The causes for requests that were answered. Others have a prefix and the reason that their gateway
// logged.
const (
	// CauseInTime means that the request is neither lost nor late.
	CauseInTime Cause = "in time"
	// CauseWaited is a first event that is late because of the wait for a slot.
	CauseWaited Cause = "first late: waited"
	// CauseRetried is one that is late because of a failed attempt.
	CauseRetried Cause = "first late: second attempt"
	// CausePasses is one that is late because of the passes that it took.
	CausePasses Cause = "first late: passes"
	// CauseMoved is a pause in which the stream was resumed at another replica.
	CauseMoved Cause = "pause late: moved"
	// CauseHeld is a pause in which a step was held for a switch.
	CauseHeld Cause = "pause late: step held"
	// CauseSlow is a pause while a rank reported that it is slow.
	CauseSlow Cause = "pause late: slow rank"
	// CauseLoading is a pause while ranks loaded experts for the next map.
	CauseLoading Cause = "pause late: ranks load"
	// CauseSkew is a pause shortly before a map was planned to reduce the skew.
	CauseSkew Cause = "pause late: skew, map to come"
	// CauseStalled is a pause that is longer than any pass.
	CauseStalled Cause = "pause late: group stood"
	// CausePass is any other pause: a pass took too long for the requests in it.
	CausePass Cause = "pause late: long pass"
)

// Prefixes of logged reasons.
const (
	refusedPrefix = "refused: "
	lostPrefix    = "lost: "
)

const (
	// minStall is longer than any pass.
	minStall = 500 * time.Millisecond
	// planDelay is the longest time from a load shift until the next map is planned.
	planDelay = 400 * time.Millisecond
)

// causeOf determines the cause for a request from its last line, the longest wait of its attempts,
// and the history of its group.
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
		return CauseRetried
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
	case g.overlaps(g.holds, begin, end):
		return CauseHeld
	case pause > minStall:
		return CauseStalled
	case g.overlaps(g.slow, begin, end):
		return CauseSlow
	case g.overlaps(g.loads, begin, end):
		return CauseLoading
	case g.planWithin(end, planDelay):
		return CauseSkew
	}
	return CausePass
}

// milliseconds parses a duration in milliseconds; 0 if it is missing or invalid.
func milliseconds(text string) time.Duration {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(v * float64(time.Millisecond))
}
