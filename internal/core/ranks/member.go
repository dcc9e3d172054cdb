package ranks

import (
	"context"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// callTimeout bounds one call to a sidecar; TCP sends a lost packet again after
	// 200 ms at the earliest, and twice as long after that.
	callTimeout = 700 * time.Millisecond
	// hedgeDelay is when a call that is not answered is made once more beside it.
	// Sidecars answer much sooner, so by then a packet was lost or the sidecar does
	// not run.
	hedgeDelay = 90 * time.Millisecond
	// maxSameCalls bounds the same calls at a time.
	maxSameCalls = 3
	// directReportLag is how much older than its reading a rank's report is when it is
	// read from afar.
	directReportLag = 400 * time.Millisecond
	// sidecarSilenceLimit is how long a sidecar may be silent before its rank is
	// reached from afar, which costs.
	sidecarSilenceLimit = 400 * time.Millisecond
)

// Member is one rank as the keeper reaches it. Its calls go on in the
// background: a rank that is slow to answer holds up nothing but what needs its
// answer.
type Member struct {
	rank graniteknot.Rank
	// clock is the keeper's.
	clock graniteknot.AgeClock
	// client is the sidecar's calls.
	client wire.Ranks
	// address is the sidecar's, for others to reach it; empty when it has none.
	address graniteknot.Address
	// zone is the sidecar's; empty is unknown.
	zone graniteknot.AvailabilityZone
	// subtreeIndex is the number of the subtreeIndex that the member of a large group is in.
	subtreeIndex int
	// direct is the rank itself, from afar; nil for none.
	direct held.Rank
	calls  group.Group

	mu sync.Mutex
	// latest is the latest look that was answered, which began at lookedAt.
	latest   snapshot
	latestAt time.Time
	// heardAt is when the sidecar answered last, or was asked first.
	heardAt time.Time
	// inFlight are the calls inFlight way, with when the last of the same was made.
	inFlight map[callKey]inFlightCalls
	// fenceAccepted tells that the rank fenceAccepted an order of this keeper.
	fenceAccepted bool
	// foreignFence is the highest fence of another keeper that was heard of.
	foreignFence graniteknot.Position
}

// callKey tells calls apart: a look, or an order.
type callKey struct {
	look  bool
	order held.Order
}

// inFlightCalls counts the same calls at a time.
type inFlightCalls struct {
	count       int
	lastStarted time.Time
}

// begin notes one more; false when enough are under way.
func (u *inFlightCalls) begin(now time.Time) bool {
	if u.count >= maxSameCalls || u.count > 0 && now.Sub(u.lastStarted) < hedgeDelay {
		return false
	}
	u.count++
	u.lastStarted = now
	return true
}

// snapshot is one look at a rank.
type snapshot struct {
	state  held.State
	counts []uint64
	lists  [][]graniteknot.Expert
	// pace above 1 is a slow rank; 0 is unknown.
	pace float64
}

// NewMember returns a rank that is reached through its sidecar's calls and, when
// the sidecar is silent, from afar; direct may be nil. The address is where other
// sidecars reach the sidecar; empty for one that they can't.
func NewMember(r graniteknot.Rank, doer wire.Ranks, address graniteknot.Address, direct held.Rank) *Member {
	return &Member{rank: r, client: doer, address: address, direct: direct, inFlight: map[callKey]inFlightCalls{}}
}

// beginCall notes a call that is to be made now; false when enough of the same are
// under way.
func (m *Member) beginCall(c callKey, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heardAt.IsZero() {
		m.heardAt = now
	}
	u := m.inFlight[c]
	if !u.begin(now) {
		return false
	}
	m.inFlight[c] = u
	return true
}

func (m *Member) endCall(c callKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.inFlight[c]
	u.count--
	m.inFlight[c] = u
	if u.count == 0 {
		delete(m.inFlight, c)
	}
}

// look begins to read the rank, and calls done when that has ended.
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

// sidecarSilent tells whether the sidecar has not answered for too long.
func (m *Member) sidecarSilent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.direct != nil && now.Sub(m.heardAt) > sidecarSilenceLimit
}

// lookDirect reads the rank from afar, with what it holds of the map in force if
// that is not known yet. Counts from afar would cost too much.
func (m *Member) lookDirect(ctx context.Context, lists bool, began time.Time) {
	m.calls.Go(func(ctx context.Context) { m.ping(ctx) })
	report, err := m.direct.Report(ctx)
	if err != nil {
		return
	}
	s := snapshot{state: report.State, pace: report.Pace}
	if lists {
		if s.lists, err = m.direct.Lists(ctx); err != nil {
			return
		}
	}
	m.storeSnapshot(s, began.Add(-directReportLag))
}

// ping finds out whether a silent sidecar answers again.
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
		m.storeSnapshot(snapshot{state: stateFromWire(reply.GetState()), counts: reply.GetCounts(), lists: listsFromWire(reply.GetLists()), pace: reply.GetPace()}, began)
	}
}

// storeSnapshot keeps a look unless a later one was answered before.
func (m *Member) storeSnapshot(s snapshot, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if began.Before(m.latestAt) {
		return
	}
	if s.lists == nil {
		s.lists = m.latest.lists
	}
	if s.counts == nil {
		s.counts = m.latest.counts
	}
	m.latest, m.latestAt = s, began
}

// lastSnapshot returns the last look and when it began; zero before the first.
func (m *Member) lastSnapshot() (snapshot, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest, m.latestAt
}

// knowsFence tells whether the rank takes no more orders of former keepers.
func (m *Member) knowsFence() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fenceAccepted
}

// otherFence returns the highest fence of another keeper that was heard of.
func (m *Member) otherFence() graniteknot.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.foreignFence
}
