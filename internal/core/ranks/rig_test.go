package ranks_test

import (
	"context"
	"math/rand/v2"
	"strconv"
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
	passTime = 40 * time.Millisecond
	loadTime = 100 * time.Millisecond
)

var small = planner.Shape{Layers: 2, Experts: 12, Ranks: 4, Slots: 5}

// bench is a group with its doers.
type bench struct {
	group *obeying.Group
	doers []*ranks.Executor
	run   group.Group
	// frozen stands for the sidecar of the rank frozenAt; nil for none.
	frozen   *frozenDoer
	frozenAt int
}

func newBench(s planner.Shape, seed uint64) *bench {
	b := &bench{group: obeying.New(s, seed)}
	b.group.Load = loadTime
	b.group.Like(uneven(s, seed))
	for r := range s.Ranks {
		b.doers = append(b.doers, &ranks.Executor{Rank: b.group.Rank(graniteknot.Rank(r)), PeerClient: b.sidecar})
	}
	b.run.Go(func(ctx context.Context) { b.group.Run(ctx, passTime) })
	return b
}

// sidecar is where other sidecars reach that of a rank.
func sidecar(rank int) graniteknot.Address { return graniteknot.Address(strconv.Itoa(rank)) }

// sidecar returns the calls of the sidecar at an address.
func (b *bench) sidecar(a graniteknot.Address) wire.Ranks {
	rank, err := strconv.Atoi(string(a))
	if err != nil {
		return nil
	}
	if b.frozen != nil && rank == b.frozenAt {
		return b.frozen
	}
	return b.doers[rank]
}

func (b *bench) stop() {
	b.run.Stop()
	b.group.Wait()
}

// uneven returns choices of which a few experts get most.
func uneven(s planner.Shape, seed uint64) planner.Loads {
	random := rand.New(rand.NewPCG(seed, 1))
	loads := planner.NewLoads(s)
	for l := range loads {
		for i, e := range random.Perm(s.Experts) {
			loads[l][e] = float64(int(1000 / float64(i+1)))
		}
	}
	return loads
}

// keeper returns a keeper at a rank; its ranks are also reached from afar.
func (b *bench) keeper(fence graniteknot.Position, own graniteknot.Rank) *ranks.Coordinator {
	return b.keeperAfter(fence, own, own)
}

// keeperAfter returns a keeper that knows the rank of the one before it.
func (b *bench) keeperAfter(fence graniteknot.Position, own, former graniteknot.Rank) *ranks.Coordinator {
	s := b.group.Shape
	var members []*ranks.Member
	for r, d := range b.doers {
		members = append(members, ranks.NewMember(graniteknot.Rank(r), d, sidecar(r), b.group.Rank(graniteknot.Rank(r))))
	}
	return ranks.NewCoordinator(ranks.Config{
		Fence: fence, OwnRank: own, FormerRank: former, Members: members,
		Engine:  &catalog.Engine{Experts: b.experts()},
		Planner: &planner.Planner{Shape: s, Threshold: 0.02, Smoothing: 1},
	})
}

// experts states how long loading takes, unless that is the usual.
func (b *bench) experts() *catalog.Experts {
	s := b.group.Shape
	out := &catalog.Experts{Sets: s.Layers, Experts: s.Experts, Places: s.Slots, Spare: 2}
	if b.group.Load > loadTime {
		const bandwidth = 1e9
		out.Size, out.Bandwidth = graniteknot.Bytes(bandwidth*b.group.Load.Seconds()), bandwidth
	}
	return out
}

// keepFor runs a keeper for a while.
func (b *bench) keepFor(k *ranks.Coordinator, d time.Duration) graniteknot.Position {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return k.Run(ctx)
}

func (b *bench) check(t *testing.T) obeying.Shown {
	t.Helper()
	shown := b.group.Show()
	if shown.Apart > 0 {
		t.Fatalf("%d passes began with different maps", shown.Apart)
	}
	return shown
}
