package ranks

import (
	"context"
	"net/http"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// lookTime bounds one look at a rank through its sidecar.
	lookTime = 150 * time.Millisecond
	// giveTime bounds an order through a sidecar; it is more than the sidecar's
	// own bound.
	giveTime = 500 * time.Millisecond
)

// Member is one rank as the keeper reaches it.
type Member struct {
	rank graniteknot.Rank
	// doer is the sidecar's calls.
	doer wire.Ranks
	// direct is the rank itself, from afar.
	direct Rank
	// silent is since when the sidecar does not answer; zero while it does.
	silent time.Time
}

// seen is one look at a rank.
type seen struct {
	state  held.State
	counts []uint64
	lists  [][]graniteknot.Expert
	pace   float64
	fenced graniteknot.Position
}

// NewMember returns a rank that is reached through its sidecar's calls and, when
// the sidecar is silent, from afar; direct may be nil.
func NewMember(r graniteknot.Rank, doer wire.Ranks, direct Rank) *Member {
	return &Member{rank: r, doer: doer, direct: direct}
}

// Find asks sidecars which rank is theirs. It returns the members of the group
// by rank; false unless there is one for each.
func Find(ctx context.Context, name GroupName, size int, sidecars []graniteknot.Address, reach func(graniteknot.Address) Rank) ([]*Member, bool) {
	if size <= 0 {
		return nil, false
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	found := make([]*Member, len(sidecars))
	var all group.Group
	for i, a := range sidecars {
		all.Go(func(context.Context) {
			short, cancel := context.WithTimeout(ctx, lookTime)
			defer cancel()
			doer := wire.NewRanksProtobufClient("http://"+string(a), client)
			reply, err := doer.Look(short, &wire.LookRequest{})
			if err == nil && GroupName(reply.GetGroup()) == name {
				found[i] = NewMember(graniteknot.Rank(reply.GetRank()), doer, reach(graniteknot.Address(reply.GetTarget())))
			}
		})
	}
	all.Wait()
	members := make([]*Member, size)
	for _, m := range found {
		if m != nil && int(m.rank) < size {
			members[m.rank] = m
		}
	}
	return members, !slices.Contains(members, nil)
}

// look reads a rank through its sidecar or, when that has been silent for too
// long, from afar.
func (m *Member) look(ctx context.Context, r *wire.LookRequest, patience time.Duration) (seen, error) {
	short, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	reply, err := m.doer.Look(short, r)
	if err == nil {
		m.silent = time.Time{}
		return seen{
			state: stateOf(reply.GetState()), counts: reply.GetCounts(), lists: listsOf(reply.GetLists()),
			pace: reply.GetPace(), fenced: graniteknot.Position(reply.GetFenced()),
		}, nil
	}
	now := time.Now()
	if m.silent.IsZero() {
		m.silent = now
	}
	if m.direct == nil || now.Sub(m.silent) < patience {
		return seen{}, err
	}
	report, err := m.direct.Report(ctx)
	return seen{state: report.State, pace: report.Pace}, err
}

// give gives an order through the sidecar or, when that is silent, from afar.
func (m *Member) give(ctx context.Context, c *Command) Result {
	ctx, cancel := context.WithTimeout(ctx, giveTime)
	defer cancel()
	if !m.silent.IsZero() && m.direct != nil {
		result, err := m.direct.Order(ctx, c)
		if err != nil {
			return ResultLost
		}
		return result
	}
	reply, err := m.doer.Give(ctx, commandToWire(c))
	if err != nil {
		return ResultLost
	}
	return Result(reply.GetResult())
}
