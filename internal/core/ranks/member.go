package ranks

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// callTimeout bounds one call to a sidecar. TCP retransmits a lost packet after 200 ms
	// at the earliest and doubles that for each further attempt.
	callTimeout = 700 * time.Millisecond
	// hedgeDelay is when an unanswered call is repeated in parallel. Sidecars answer much
	// sooner, so by then a packet was lost or the sidecar is down.
	hedgeDelay = 90 * time.Millisecond
	// maxSameCalls bounds the concurrent calls with the same content.
	maxSameCalls = 3
	// directReportLag is the assumed age of a rank's report when it is read directly from
	// another box.
	directReportLag = 400 * time.Millisecond
	// sidecarSilenceLimit is how long a sidecar may be silent before its rank is called
	// directly, which costs more.
	sidecarSilenceLimit = 400 * time.Millisecond
)

// Member is the coordinator's connection to one rank. Calls run in the background, so a
// slow rank delays only what needs its answer.
type Member struct {
	rank graniteknot.Rank
	// clock, log and meter are the coordinator's.
	clock graniteknot.AgeClock
	log   *eventlog.Log
	meter *meter.Meter
	// invalid logs reports that are left out.
	invalid eventlog.Sparse
	// client calls the sidecar.
	client wire.Ranks
	// address is where other sidecars reach this one; empty if they can't.
	address graniteknot.Address
	// zone is the sidecar's; empty is unknown.
	zone graniteknot.AvailabilityZone
	// subtreeIndex is the member's relay subtree in a large group.
	subtreeIndex int
	// direct calls the rank without its sidecar; nil if that is not possible.
	direct held.Rank
	calls  group.Group

	mu    sync.Mutex
	known knowledge
	// heardAt is when the sidecar last answered, or was first called.
	heardAt time.Time
	// inFlight counts the calls in flight by content.
	inFlight map[callKey]inFlightCalls
	// fenceAcceptedAt is when the rank first answered an order of this coordinator; zero before.
	fenceAcceptedAt time.Time
	// foreignFence is the highest fencing token reported for another coordinator.
	foreignFence graniteknot.Position
	// former is the coordinator before this one, as the sidecar knows it.
	former coordinatorRecord
}

// callKey identifies calls with the same content: a look or an order.
type callKey struct {
	look  bool
	order held.Order
}

// inFlightCalls counts concurrent calls with the same content.
type inFlightCalls struct {
	count       int
	lastStarted time.Time
}

// begin adds a call; false when there are enough.
func (f *inFlightCalls) begin(now time.Time) bool {
	if f.count >= maxSameCalls || f.count > 0 && now.Sub(f.lastStarted) < hedgeDelay {
		return false
	}
	f.count++
	f.lastStarted = now
	return true
}

// snapshot is the state of a rank as of one look.
type snapshot struct {
	state  held.State
	counts []uint64
	lists  [][]graniteknot.Expert
	// pace is the rank's pass time relative to normal; above 1 is slow, 0 is unknown.
	pace float64
	// source is how the state is known.
	source source
}

// NewMember returns a member that is called through its sidecar's client or, when the
// sidecar is silent, through direct, which may be nil. The address is where other sidecars
// reach its sidecar; empty if they can't.
func NewMember(r graniteknot.Rank, client wire.Ranks, address graniteknot.Address, direct held.Rank) *Member {
	return &Member{rank: r, client: client, address: address, direct: direct, inFlight: map[callKey]inFlightCalls{}}
}

// beginCall adds a call in flight; false when there are enough with the same content.
func (m *Member) beginCall(c callKey, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heardAt.IsZero() {
		m.heardAt = now
	}
	calls := m.inFlight[c]
	if !calls.begin(now) {
		return false
	}
	m.inFlight[c] = calls
	return true
}

func (m *Member) endCall(c callKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	calls := m.inFlight[c]
	calls.count--
	m.inFlight[c] = calls
	if calls.count == 0 {
		delete(m.inFlight, c)
	}
}

// look starts to read the rank and calls done when that has ended. It does nothing if
// enough looks are in flight.
func (m *Member) look(r *wire.LookRequest, now time.Time, done func()) {
	c := callKey{look: true}
	if !m.beginCall(c, now) {
		return
	}
	m.calls.Go(func(ctx context.Context) {
		defer done()
		defer m.endCall(c)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if m.sidecarSilent(now) {
			m.lookDirect(ctx, r.GetLists(), now)
			return
		}
		reply, err := m.client.Look(ctx, r)
		if err == nil {
			m.recordReply(reply, now)
		}
	})
}

// sidecarSilent reports whether the sidecar has not answered for too long and the rank can
// be called directly.
func (m *Member) sidecarSilent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.direct != nil && now.Sub(m.heardAt) > sidecarSilenceLimit
}

// lookDirect reads the rank without its sidecar, and its expert lists if the map in force
// is unknown. Reading counts remotely would cost too much.
func (m *Member) lookDirect(ctx context.Context, lists bool, began time.Time) {
	m.calls.Go(func(ctx context.Context) { m.ping(ctx) })
	report, err := m.direct.Report(ctx)
	if err != nil {
		return
	}
	ended := m.clock.Now()
	s := snapshot{state: report.State, pace: report.Pace, source: sourceDirect}
	if lists {
		if s.lists, err = m.direct.Lists(ctx); err != nil {
			return
		}
	}
	m.addReport(s, began.Add(-directReportLag), ended)
}

// ping checks whether a silent sidecar answers again.
func (m *Member) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := m.client.Look(ctx, &wire.LookRequest{}); err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.heardAt = m.clock.Now()
	}
}

func (m *Member) recordReply(reply *wire.LookReply, began time.Time) {
	m.mu.Lock()
	m.heardAt = m.clock.Now()
	m.foreignFence = max(m.foreignFence, graniteknot.Position(reply.GetFenced()))
	m.mu.Unlock()
	if reply.GetFenced() == 0 {
		m.recordFormer(formerFromWire(reply))
		m.addReport(snapshot{state: stateFromWire(reply.GetState()), counts: reply.GetCounts(), lists: listsFromWire(reply.GetLists()), pace: reply.GetPace(), source: sourceSidecar}, began, m.clock.Now())
	}
}

// addReport stores a report that was read between two times, if it is newer than what is known.
func (m *Member) addReport(s snapshot, began, ended time.Time) {
	m.mu.Lock()
	v, before := m.known.addReport(s, began, ended), m.known.report.state.Step
	m.mu.Unlock()
	m.countVerdict(v)
	if v == verdictInvalid {
		m.invalid.Warn(m.log, "rank report left out", strconv.Itoa(int(m.rank)), "the step goes back", slog.Uint64("step", uint64(s.state.Step)),
			slog.Uint64("before", uint64(before)), slog.Int64("epoch", int64(s.state.Epoch)))
	}
}

// countVerdict counts what is dropped.
func (m *Member) countVerdict(v verdict) {
	switch v {
	case verdictOlder:
		m.meter.Count("graniteknot_rank_states_dropped_total", meter.Label{Name: "reason", Value: "older"})
	case verdictInvalid:
		m.meter.Count("graniteknot_rank_states_dropped_total", meter.Label{Name: "reason", Value: "invalid"})
	case verdictKept:
	}
}

// lastSnapshot returns what is known of the rank and when the look that it rests on began; a zero
// time if there is none.
func (m *Member) lastSnapshot() (snapshot, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known.snapshot(), m.known.began
}

// fenceAccepted returns since when the rank is known to have accepted this coordinator's fencing
// token and so refuses orders of former ones; a zero time if it is not.
func (m *Member) fenceAccepted() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fenceAcceptedAt
}

// acceptFence records that the rank answered an order of this coordinator; called with the lock
// held.
func (m *Member) acceptFence() {
	if m.fenceAcceptedAt.IsZero() {
		m.fenceAcceptedAt = m.clock.Now()
	}
}

// otherFence returns the highest fencing token reported for another coordinator.
func (m *Member) otherFence() graniteknot.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.foreignFence
}
