package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

// streamRow is a run of streams a quarter of which has trouble of one kind.
type streamRow struct {
	name string
	// first is the plan of a faulty stream's first attempt, later that of all others.
	first, later platformtest.StreamPlan
	kind         streamKind
	// callers is the number of callers; zero for rowCallers.
	callers int
	// deadline lets the deadlines of a quarter of the streams pass.
	deadline bool
	// stops is how many gateways are stopped. Gateways are frozen in turn for a time; zero for never.
	stops  int
	freeze time.Duration
	// span is for how long gateways have faults; zero for rowFaultsSpan.
	span time.Duration
}

// streamRows are all rows.
var streamRows = []streamRow{
	{name: "sound"},
	{name: "reset-in-event", first: platformtest.StreamPlan{Fault: platformtest.StreamResetInEvent}},
	{name: "closed-between-events", first: platformtest.StreamPlan{Fault: platformtest.StreamClosed}},
	{name: "broken-in-event-unframed", first: platformtest.StreamPlan{Fault: platformtest.StreamClosedInEvent, Unframed: true}},
	{name: "surplus", first: platformtest.StreamPlan{Fault: platformtest.StreamSurplus}},
	{name: "gateways-stopped", stops: 2},
	{name: "gateways-frozen", freeze: shortFreeze},
	{name: "deadline", deadline: true},
	{name: "deadline-frozen", deadline: true, freeze: shortFreeze},
	{
		name: "http10-broken-for-good", kind: streamHTTP10,
		first: platformtest.StreamPlan{Fault: platformtest.StreamResetInEvent}, later: platformtest.StreamPlan{Fault: platformtest.StreamResetInEvent},
	},
	{
		// With more callers, most replicas would be down at any time.
		name: "replica-ends-unframed", callers: 6,
		first: platformtest.StreamPlan{Fault: platformtest.StreamReplicaEnds, Unframed: true}, later: platformtest.StreamPlan{Unframed: true},
	},
	{
		name: "replica-restarts-unframed-frozen", callers: 6, freeze: longFreeze, span: 5 * rowFaultsSpan,
		first: platformtest.StreamPlan{Fault: platformtest.StreamReplicaEnds, Unframed: true}, later: platformtest.StreamPlan{Unframed: true},
	},
	{name: "spoiled", first: platformtest.StreamPlan{Fault: platformtest.StreamSpoiled}},
	{
		name: "last-id-not-heeded", first: platformtest.StreamPlan{Fault: platformtest.StreamResetInEvent},
		later: platformtest.StreamPlan{Fault: platformtest.StreamIgnoresLastID},
	},
	{name: "event-twice", first: platformtest.StreamPlan{Fault: platformtest.StreamRepeatsEvent}},
	{
		name: "resumption-not-found", first: platformtest.StreamPlan{Fault: platformtest.StreamResetInEvent},
		later: platformtest.StreamPlan{Fault: platformtest.StreamNotFound},
	},
}

// StreamRows returns the names of all rows.
func StreamRows() []string {
	var out []string
	for _, r := range streamRows {
		out = append(out, r.name)
	}
	return out
}

// streamRowNamed returns a row.
func streamRowNamed(name string) (streamRow, error) {
	i := slices.IndexFunc(streamRows, func(r streamRow) bool { return r.name == name })
	if i < 0 {
		return streamRow{}, fmt.Errorf("no row of streams is named %q; there are %s", name, strings.Join(StreamRows(), ", "))
	}
	return streamRows[i], nil
}

// plan returns the plan of an attempt.
func (r streamRow) plan(a streamAttempt) platformtest.StreamPlan {
	switch {
	case !a.faulty:
		// All responses of the row are framed alike.
		return platformtest.StreamPlan{Unframed: r.first.Unframed}
	case a.number == 0:
		return r.first
	}
	return r.later
}

// draw sets what differs between streams.
func (r streamRow) draw(x *streamCall, random *rand.Rand) {
	x.kind = r.kind
	if r.deadline && random.IntN(faultyStreams) == 0 {
		x.deadline = minStreamDeadline + time.Duration(random.Int64N(int64(maxStreamDeadline-minStreamDeadline)))
	}
}

const (
	// rowStopsFrom is when the first gateway is stopped, rowStopInterval the time until the next.
	rowStopsFrom    = time.Second
	rowStopInterval = 2 * time.Second
	// shortFreeze is shorter than a replica takes to restart, longFreeze longer. The next gateway is frozen a while
	// after the former goes on.
	shortFreeze       = 150 * time.Millisecond
	longFreeze        = 2 * replicaRestartTime
	rowFreezeInterval = 250 * time.Millisecond
)

// faults returns the faults of gateways.
func (r streamRow) faults(gateways []*process) []fault {
	var out []fault
	for i := range r.stops {
		g := gateways[i%len(gateways)]
		out = append(out, fault{at: rowStopsFrom + time.Duration(i)*rowStopInterval, name: "stop", begin: func() { g.signal(syscall.SIGTERM, 0) }})
	}
	if r.freeze == 0 {
		return out
	}
	for at := time.Duration(0); at < cmp.Or(r.span, rowFaultsSpan); at += r.freeze + rowFreezeInterval {
		g := gateways[len(out)%len(gateways)]
		out = append(out, fault{
			at: at, duration: r.freeze, name: "freeze",
			begin: func() { g.signal(syscall.SIGSTOP, r.freeze) }, end: func() { g.signal(syscall.SIGCONT, 0) },
		})
	}
	return out
}
