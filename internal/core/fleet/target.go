package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Load is a replica's report of its own load.
type Load struct {
	// Running requests are in the batch, Waiting ones are queued for it.
	Running, Waiting int
	// Pace is above 1 for a slow replica.
	Pace float64
	// Pass is the duration of a pass; 0 if unknown, as in an idle group.
	Pass time.Duration
	// Forecast is that of the group's keeper; zero in reports of other ranks.
	Forecast Forecast
	// GroupDown reports that the replica's group isn't running.
	GroupDown bool
	// Relayed reports came through another gateway: they don't show that this process
	// can reach the replica.
	Relayed bool
	// Life is the mark of the life that sent the report; 0 if unknown.
	Life catalog.Mark
	// Taken is when the report was made.
	Taken time.Time
}

// target is a replica and its state in this process. Guarded by the table's lock.
type target struct {
	replica catalog.Replica
	// hash is the record's part of the table's digest.
	hash Digest
	// registered is when this process learned of it. Its record was written at
	// writtenAfter or later, its last heartbeat at lastHeartbeat or later; zero before
	// the first.
	registered, writtenAfter, lastHeartbeat time.Time
	// lapsed is when its record vanished while the store could not be trusted; zero
	// while the record is there. From lapseEnds on it gets no requests; zero while the
	// store is away.
	lapsed, lapseEnds time.Time

	// addressTaken reports whether another replica has its address. That shows that
	// this one has ended; its record goes only some heartbeats later.
	addressTaken bool

	// superseded reports whether the sidecar at the address reported another life, with
	// no heartbeat of this one since.
	superseded bool

	// evacuated reports whether the replica's zone is evacuated.
	evacuated bool

	// group is the group that the target belongs to.
	group *group

	// own holds this process's requests at the replica.
	own map[*Lease]struct{}
	// lastResponse is when the replica last sent this process part of a response.
	lastResponse time.Time
	// unreachable reports whether the last sweep found the replica silent; probedAt is
	// when a request was last sent to probe it.
	unreachable bool
	probedAt    time.Time
	// silenceLimit is how long it may be silent, as of the last sweep.
	silenceLimit time.Duration
	// load is the last report; its Taken is zero before the first.
	load Load

	// life is the state of its life; nil without feedback.
	life *lifeState

	// failures counts consecutive failures; ejectedUntil is when it may be probed.
	failures     int
	ejectedUntil time.Time
	// probing reports whether a request that probes it is in flight.
	probing bool
	// latency is a moving mean of the time to the first byte; 0 before the first.
	latency time.Duration
}

// accepts reports whether an engine may get requests now. An engine whose group is
// down would refuse them, which uses up the retry budget. A new engine must first
// report whether it runs, and an unreachable one gets only probes.
func (t *target) accepts(now time.Time) bool {
	if t.withheld(now) || t.addressTaken || t.superseded {
		return false
	}
	if t.load.Taken.IsZero() {
		return t.usable(now) && now.Sub(t.registered) >= firstReportWait
	}
	closed := t.load.GroupDown && now.Sub(t.load.Taken) < maxReportAge
	return t.usable(now) && !closed
}

// prefillTokens returns the prompt tokens of own requests without a first event.
func (t *target) prefillTokens() graniteknot.Tokens {
	var sum graniteknot.Tokens
	for l := range t.own {
		if !l.started {
			sum += l.size.Prompt
		}
	}
	return sum
}

// otherRequests estimates the requests at the replica from other processes.
func (t *target) otherRequests(now time.Time) int {
	if t.load.Taken.IsZero() || now.Sub(t.load.Taken) > maxReportAge {
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

// without returns a list without one target, and leaves the list itself unchanged.
func without(list []*target, excluded *target) []*target {
	for i, x := range list {
		if x == excluded {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
