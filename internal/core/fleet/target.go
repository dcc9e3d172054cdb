package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Load is a replica's own report.
type Load struct {
	// Running requests are in the batch, Waiting ones before it.
	Running, Waiting int
	// Pace above 1 is a slow replica.
	Pace float64
	// Pass is how long a pass takes; 0 is unknown, as in an idle group.
	Pass time.Duration
	// Forecast is the keeper's of the group; zero from other ranks.
	Forecast Forecast
	// GroupDown groups do not run.
	GroupDown bool
	// Relayed reports came through another gateway: they do not show that this process
	// can reach the replica.
	Relayed bool
	// Life is the mark of the replica that made the report; 0 is unknown.
	Life catalog.Mark
	// Taken is when the report was made.
	Taken time.Time
}

// target is one replica and what is known of it. The table's lock guards it.
type target struct {
	replica catalog.Replica
	// registered is when this process learned of it. Since is when its record was written at
	// the earliest, beat the same of its last heartbeat; zero before.
	registered, since, beat time.Time
	// lapsed is when its record vanished without a word while the store could
	// not be trusted; zero when it is there.
	lapsed time.Time

	// replaced tells that another replica has the address, which shows that this
	// one has ended: its record goes only some heartbeats later.
	replaced bool

	// outlived tells that the sidecar at the address told of another life, and that no
	// heartbeat of this one has come since.
	outlived bool

	// group is the one that it is in.
	group *group

	// own are this process's requests at the replica.
	own map[*Lease]struct{}
	// heard is when the replica last gave this process a part of an answer.
	heard time.Time
	// cutOff tells that the last look found the replica silent; risked is when a
	// request was last sent to find out whether it still is.
	cutOff bool
	risked time.Time
	// patience is how long it may be silent, as of the last look.
	patience time.Duration
	// load is the last report; its Taken is zero before the first.
	load Load

	// word is what its life said to this process; nil for nothing.
	word *word

	// failures counts failures in a row; until is when it is tried again.
	failures int
	until    time.Time
	// trial tells that a request is under way that tries a failed replica.
	trial bool
	// latency is a moving mean of the time to the first byte; 0 before the
	// first.
	latency time.Duration
}

// takes tells whether an engine may get requests now. One whose group does not
// run would refuse them, which uses up the retry budget.
// Neither may a new one whose sidecar has not told yet whether it does, nor one
// that is cut off.
func (t *target) takes(now time.Time) bool {
	if t.spared(now) || t.replaced || t.outlived {
		return false
	}
	if t.load.Taken.IsZero() {
		return t.usable(now) && now.Sub(t.registered) >= firstReport
	}
	closed := t.load.GroupDown && now.Sub(t.load.Taken) < reportAge
	return t.usable(now) && !closed
}

// reading returns the prompt tokens of own requests that have no first event.
func (t *target) reading() graniteknot.Tokens {
	var sum graniteknot.Tokens
	for l := range t.own {
		if !l.begun {
			sum += l.size.Prompt
		}
	}
	return sum
}

// others estimates the requests at the replica that are not this process's.
func (t *target) others(now time.Time) int {
	if t.load.Taken.IsZero() || now.Sub(t.load.Taken) > reportAge {
		return 0
	}
	known := 0
	for l := range t.own {
		if l.sent.Before(t.load.Taken) {
			known++
		}
	}
	return max(0, t.load.Running+t.load.Waiting-known)
}

// without returns a list without one target; the list itself stays as it is.
func without(list []*target, one *target) []*target {
	for i, x := range list {
		if x == one {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
