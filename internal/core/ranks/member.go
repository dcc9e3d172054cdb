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
	// callTime bounds one call to a sidecar; TCP sends a lost packet again after
	// 200 ms at the earliest, and twice as long after that.
	callTime = 700 * time.Millisecond
	// hedgeTime is when a call that is not answered is made once more beside it.
	// Sidecars answer much sooner, so by then a packet was lost or the sidecar does
	// not run.
	hedgeTime = 90 * time.Millisecond
	// mostCalls bounds the same calls at a time.
	mostCalls = 3
	// directLag is how much older than its reading a rank's report is when it is
	// read from afar.
	directLag = 400 * time.Millisecond
	// sidecarPatience is how long a sidecar may be silent before its rank is
	// reached from afar, which costs.
	sidecarPatience = 400 * time.Millisecond
)

// Member is one rank as the keeper reaches it. Its calls go on in the
// background: a rank that is slow to answer holds up nothing but what needs its
// answer.
type Member struct {
	rank graniteknot.Rank
	// clock is the keeper's.
	clock graniteknot.AgeClock
	// doer is the sidecar's calls.
	doer wire.Ranks
	// address is the sidecar's, for others to reach it; empty when it has none.
	address graniteknot.Address
	// zone is the sidecar's; empty is unknown.
	zone graniteknot.AvailabilityZone
	// part is the number of the part that the member of a large group is in.
	part int
	// direct is the rank itself, from afar; nil for none.
	direct held.Rank
	calls  group.Group

	mu sync.Mutex
	// last is the last look that was answered, which began at lookedAt.
	last     seen
	lookedAt time.Time
	// heard is when the sidecar answered last, or was asked first.
	heard time.Time
	// under are the calls under way, with when the last of the same was made.
	under map[call]underWay
	// answered tells that the rank answered an order of this keeper.
	answered bool
	// fenced is the highest fence of another keeper that was heard of.
	fenced graniteknot.Position
}

// call tells calls apart: a look, or an order.
type call struct {
	look  bool
	order held.Order
}

// underWay counts the same calls at a time.
type underWay struct {
	count int
	made  time.Time
}

// begin notes one more; false when enough are under way.
func (u *underWay) begin(now time.Time) bool {
	if u.count >= mostCalls || u.count > 0 && now.Sub(u.made) < hedgeTime {
		return false
	}
	u.count++
	u.made = now
	return true
}

// seen is one look at a rank.
type seen struct {
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
	return &Member{rank: r, doer: doer, address: address, direct: direct, under: map[call]underWay{}}
}

// begin notes a call that is to be made now; false when enough of the same are
// under way.
func (m *Member) begin(c call, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard.IsZero() {
		m.heard = now
	}
	u := m.under[c]
	if !u.begin(now) {
		return false
	}
	m.under[c] = u
	return true
}

func (m *Member) end(c call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.under[c]
	u.count--
	m.under[c] = u
	if u.count == 0 {
		delete(m.under, c)
	}
}

// look begins to read the rank, and calls done when that has ended.
func (m *Member) look(r *wire.LookRequest, now time.Time, done func()) {
	c := call{look: true}
	if !m.begin(c, now) {
		return
	}
	m.calls.Go(func(ctx context.Context) {
		defer done()
		defer m.end(c)
		ctx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		if m.silent(now) {
			m.lookDirect(ctx, r.GetLists(), now)
			return
		}
		reply, err := m.doer.Look(ctx, r)
		if err == nil {
			m.take(reply, now)
		}
	})
}

// silent tells whether the sidecar has not answered for too long.
func (m *Member) silent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.direct != nil && now.Sub(m.heard) > sidecarPatience
}

// lookDirect reads the rank from afar, with what it holds of the map in force if
// that is not known yet. Counts from afar would cost too much.
func (m *Member) lookDirect(ctx context.Context, lists bool, began time.Time) {
	m.calls.Go(func(ctx context.Context) { m.ping(ctx) })
	report, err := m.direct.Report(ctx)
	if err != nil {
		return
	}
	s := seen{state: report.State, pace: report.Pace}
	if lists {
		if s.lists, err = m.direct.Lists(ctx); err != nil {
			return
		}
	}
	m.store(s, began.Add(-directLag))
}

// ping finds out whether a silent sidecar answers again.
func (m *Member) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if _, err := m.doer.Look(ctx, &wire.LookRequest{}); err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.heard = m.clock.Now()
	}
}

func (m *Member) take(reply *wire.LookReply, began time.Time) {
	m.mu.Lock()
	m.heard = m.clock.Now()
	m.fenced = max(m.fenced, graniteknot.Position(reply.GetFenced()))
	m.mu.Unlock()
	if reply.GetFenced() == 0 {
		m.store(seen{state: stateOf(reply.GetState()), counts: reply.GetCounts(), lists: listsOf(reply.GetLists()), pace: reply.GetPace()}, began)
	}
}

// store keeps a look unless a later one was answered before.
func (m *Member) store(s seen, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if began.Before(m.lookedAt) {
		return
	}
	if s.lists == nil {
		s.lists = m.last.lists
	}
	if s.counts == nil {
		s.counts = m.last.counts
	}
	m.last, m.lookedAt = s, began
}

// shown returns the last look and when it began; zero before the first.
func (m *Member) shown() (seen, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last, m.lookedAt
}

// knowsFence tells whether the rank takes no more orders of former keepers.
func (m *Member) knowsFence() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered
}

// otherFence returns the highest fence of another keeper that was heard of.
func (m *Member) otherFence() graniteknot.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fenced
}
