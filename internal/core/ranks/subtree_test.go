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

var errUnreachable = errors.New("sidecar is unreachable")

// callRecorder records the first call to each sidecar and answers none.
type callRecorder struct {
	mu sync.Mutex
	// calls holds, for each sidecar called, how many it has to reach, itself included.
	calls map[string]int
}

// recordingSidecar is a client for one sidecar that records its calls.
type recordingSidecar struct {
	wire.Ranks
	recorder *callRecorder
	name     string
}

// Look implements wire.Ranks.
func (s *recordingSidecar) Look(context.Context, *wire.LookRequest) (*wire.LookReply, error) {
	s.recorder.record(s.name, 1)
	return nil, errUnreachable
}

// LookAll implements wire.Ranks.
func (s *recordingSidecar) LookAll(_ context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	s.recorder.record(s.name, len(r.GetSidecars())+1)
	return nil, errUnreachable
}

func (r *callRecorder) record(name string, reached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[name] = reached
}

// TestRelayFanOut requires that the coordinator and each relay call no more than about
// twice the cube root of the number of ranks, and that all ranks are reached.
func TestRelayFanOut(t *testing.T) {
	for n, limit := range map[int]int{24: 8, 64: 8, 129: 12, 300: 14, 1000: 20} {
		synctest.Test(t, func(t *testing.T) {
			recorder := &callRecorder{calls: map[string]int{}}
			var members []*ranks.Member
			for r := range n {
				name := strconv.Itoa(r)
				members = append(members, ranks.NewMember(graniteknot.Rank(r), &recordingSidecar{recorder: recorder, name: name}, graniteknot.Address(name), nil))
			}
			shape := planner.Shape{Layers: 1, Experts: n, Ranks: n, Slots: 2}
			coordinator := ranks.NewCoordinator(ranks.Config{
				Fence: 1, Members: members, Planner: &planner.Planner{Shape: shape},
				Engine: &catalog.Engine{Experts: &catalog.Experts{Sets: 1, Experts: n, Places: 2, Spare: 1}},
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			coordinator.Run(ctx)
			reached, largest := 0, 0
			for _, size := range recorder.calls {
				reached, largest = reached+size, max(largest, size)
			}
			if reached != n || len(recorder.calls) > limit {
				t.Errorf("%d ranks: the coordinator calls %d sidecars, which reach %d ranks", n, len(recorder.calls), reached)
			}
			if calls := directCalls(t, largest); calls > limit {
				t.Errorf("%d ranks: a relay that reaches %d ranks calls %d sidecars", n, largest, calls)
			}
		})
	}
}

// directCalls returns how many calls a relay makes that has to reach so many sidecars,
// itself included.
func directCalls(t *testing.T, reached int) int {
	t.Helper()
	recorder := &callRecorder{calls: map[string]int{}}
	f := newFixture(smallShape, 1)
	defer f.stop()
	relay := &ranks.Executor{Rank: f.group.Rank(0), PeerClient: func(a graniteknot.Address) wire.Ranks {
		return &recordingSidecar{recorder: recorder, name: string(a)}
	}}
	var others []string
	for i := range reached - 1 {
		others = append(others, strconv.Itoa(i))
	}
	if _, err := relay.LookAll(context.Background(), &wire.LookAllRequest{Look: &wire.LookRequest{}, Sidecars: others}); err != nil {
		t.Fatal(err)
	}
	return len(recorder.calls)
}
