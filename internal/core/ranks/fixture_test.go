package ranks_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/obeying"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

const (
	passTime       = 40 * time.Millisecond
	expertLoadTime = 100 * time.Millisecond
)

var smallShape = planner.Shape{Layers: 2, Experts: 12, Ranks: 4, Slots: 5}

// fixture is a simulated rank group with an executor for each rank.
type fixture struct {
	group     *obeying.Group
	executors []*ranks.Executor
	run       group.Group
	// freezable replaces the sidecar of freezableRank; nil for none.
	freezable     *freezableExecutor
	freezableRank int
	// peers delays calls between sidecars, local those to ranks; nil for neither.
	peers, local *lateness

	// mu guards the elements of executors once sidecars restart.
	mu sync.Mutex
}

func newFixture(s planner.Shape, seed uint64) *fixture {
	f := newFixtureWithoutPasses(s, seed)
	f.run.Go(func(ctx context.Context) { f.group.Run(ctx, passTime) })
	return f
}

// newFixtureWithoutPasses returns a fixture whose group makes passes only when told to.
func newFixtureWithoutPasses(s planner.Shape, seed uint64) *fixture {
	f := &fixture{group: obeying.New(s, seed)}
	f.group.Load = expertLoadTime
	f.group.Like(zipfLoads(s, seed))
	for r := range s.Ranks {
		f.executors = append(f.executors, &ranks.Executor{Rank: f.group.Rank(graniteknot.Rank(r)), PeerClient: f.sidecarClient})
	}
	return f
}

// sidecarAddress returns the address of a rank's sidecar.
func sidecarAddress(rank int) graniteknot.Address { return graniteknot.Address(strconv.Itoa(rank)) }

// sidecarClient returns a client for the sidecar at an address.
func (f *fixture) sidecarClient(a graniteknot.Address) wire.Ranks {
	rank, err := strconv.Atoi(string(a))
	if err != nil {
		return nil
	}
	if f.freezable != nil && rank == f.freezableRank {
		return f.freezable
	}
	return f.sidecar(rank)
}

// sidecar returns a client for a rank's sidecar.
func (f *fixture) sidecar(rank int) wire.Ranks {
	current := func() wire.Ranks {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.executors[rank]
	}
	if f.peers == nil {
		return current()
	}
	return &latePeer{lateness: f.peers, sidecar: current}
}

func (f *fixture) stop() {
	f.run.Stop()
	for _, l := range []*lateness{f.peers, f.local} {
		if l != nil {
			l.running.Wait()
		}
	}
	f.group.Wait()
}

// zipfLoads returns Zipf-distributed loads, with the experts in random order.
func zipfLoads(s planner.Shape, seed uint64) planner.Loads {
	random := rand.New(rand.NewPCG(seed, 1))
	loads := planner.NewLoads(s)
	for l := range loads {
		for i, e := range random.Perm(s.Experts) {
			loads[l][e] = float64(int(1000 / float64(i+1)))
		}
	}
	return loads
}

// coordinator returns a coordinator on a rank's box, which can also call ranks directly.
func (f *fixture) coordinator(fence graniteknot.Position, own graniteknot.Rank) *ranks.Coordinator {
	return f.coordinatorAfter(fence, own, own)
}

// coordinatorAfter returns a coordinator that knows the previous one's rank.
func (f *fixture) coordinatorAfter(fence graniteknot.Position, own, former graniteknot.Rank) *ranks.Coordinator {
	var members []*ranks.Member
	for r := range f.executors {
		members = append(members, ranks.NewMember(graniteknot.Rank(r), f.sidecar(r), sidecarAddress(r), f.rank(graniteknot.Rank(r))))
	}
	return f.coordinatorOf(members, fence, own, former)
}

// coordinatorOf returns a coordinator of the given members.
func (f *fixture) coordinatorOf(members []*ranks.Member, fence graniteknot.Position, own, former graniteknot.Rank) *ranks.Coordinator {
	return ranks.NewCoordinator(ranks.Config{
		Fence: fence, OwnRank: own, FormerRank: former, Members: members,
		Engine:  &catalog.Engine{Experts: f.experts()},
		Planner: &planner.Planner{Shape: f.group.Shape, MinMoveGain: 0.02, Smoothing: 1},
	})
}

// experts returns the expert settings, with the load time if that is longer than
// expertLoadTime.
func (f *fixture) experts() *catalog.Experts {
	s := f.group.Shape
	out := &catalog.Experts{Sets: s.Layers, Experts: s.Experts, Places: s.Slots, Spare: 2}
	if f.group.Load > expertLoadTime {
		const bandwidth = 1e9
		out.Size, out.Bandwidth = graniteknot.Bytes(bandwidth*f.group.Load.Seconds()), bandwidth
	}
	return out
}

// runFor runs a coordinator for a duration.
func (f *fixture) runFor(c *ranks.Coordinator, d time.Duration) graniteknot.Position {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return c.Run(ctx)
}

func (f *fixture) checkMapsAgree(t *testing.T) obeying.Shown {
	t.Helper()
	shown := f.group.Show()
	if shown.Apart > 0 {
		t.Fatalf("%d passes began with different maps, the first at %s", shown.Apart, shown.FirstApart)
	}
	return shown
}
