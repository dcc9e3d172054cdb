package ranks_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

var errNotThere = errors.New("not there")

// asked notes the first calls that are made to sidecars, none of which answers.
type asked struct {
	mu sync.Mutex
	// calls holds how many sidecars each one that was called is to reach, itself included.
	calls map[string]int
}

// sidecarAsked is one sidecar of them.
type sidecarAsked struct {
	wire.Ranks
	asked *asked
	name  string
}

// Look implements wire.Ranks.
func (s *sidecarAsked) Look(context.Context, *wire.LookRequest) (*wire.LookReply, error) {
	s.asked.note(s.name, 1)
	return nil, errNotThere
}

// LookAll implements wire.Ranks.
func (s *sidecarAsked) LookAll(_ context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	s.asked.note(s.name, len(r.GetSidecars())+1)
	return nil, errNotThere
}

func (a *asked) note(name string, reached int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[name] = reached
}

// TestPartsOfLargeGroups divides groups so that neither the keeper, nor a sidecar that
// reaches others for it, makes calls to more than about twice the cube root of the ranks,
// and all ranks are reached.
func TestPartsOfLargeGroups(t *testing.T) {
	for n, most := range map[int]int{24: 8, 64: 8, 129: 12, 300: 14, 1000: 20} {
		synctest.Test(t, func(t *testing.T) {
			keeper := &asked{calls: map[string]int{}}
			var members []*ranks.Member
			for r := range n {
				name := strconv.Itoa(r)
				members = append(members, ranks.NewMember(graniteknot.Rank(r), &sidecarAsked{asked: keeper, name: name}, graniteknot.Address(name), nil))
			}
			shape := planner.Shape{Layers: 1, Experts: n, Ranks: n, Slots: 2}
			k := ranks.NewCoordinator(ranks.Config{
				Fence: 1, Members: members, Planner: &planner.Planner{Shape: shape},
				Engine: &catalog.Engine{Experts: &catalog.Experts{Sets: 1, Experts: n, Places: 2, Spare: 1}},
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			k.Run(ctx)
			reached, largest := 0, 0
			for _, size := range keeper.calls {
				reached, largest = reached+size, max(largest, size)
			}
			if reached != n || len(keeper.calls) > most {
				t.Errorf("%d ranks: a keeper calls %d sidecars, which reach %d", n, len(keeper.calls), reached)
			}
			if inner := callsOf(t, largest); inner > most {
				t.Errorf("%d ranks: a sidecar that reaches %d calls %d", n, largest, inner)
			}
		})
	}
}

// callsOf returns how many sidecars one calls that reaches so many, itself included.
func callsOf(t *testing.T, reached int) int {
	t.Helper()
	inner := &asked{calls: map[string]int{}}
	b := newBench(small, 1)
	defer b.stop()
	d := &ranks.Executor{Rank: b.group.Rank(0), PeerClient: func(a graniteknot.Address) wire.Ranks {
		return &sidecarAsked{asked: inner, name: string(a)}
	}}
	var others []string
	for i := range reached - 1 {
		others = append(others, strconv.Itoa(i))
	}
	if _, err := d.LookAll(context.Background(), &wire.LookAllRequest{Look: &wire.LookRequest{}, Sidecars: others}); err != nil {
		t.Fatal(err)
	}
	return len(inner.calls)
}
