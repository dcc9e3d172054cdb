package ranks_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

const preparedMap = held.Version(3)

// giveOrder gives an order to one rank through its sidecar.
func (f *fixture) giveOrder(t *testing.T, rank int, r *wire.GiveRequest) {
	t.Helper()
	r.Epoch = 1
	reply, err := f.executors[rank].Give(context.Background(), r)
	if err != nil || held.Result(reply.GetResult()) != held.ResultDone {
		t.Fatalf("rank %d: order %v: result %v, error %v", rank, held.Kind(r.GetKind()), held.Result(reply.GetResult()), err)
	}
}

// prepareAndHold has a coordinator with fence 1 prepare a map and hold a step, and returns that step.
func (f *fixture) prepareAndHold(t *testing.T, holder int) uint64 {
	t.Helper()
	next := planner.NewRoundRobin(f.group.Shape)
	experts := next.Experts(0, 0)
	next.SetExperts(0, 0, append([]graniteknot.Expert{graniteknot.Expert(1)}, experts[:2]...))
	next.SetExperts(0, 1, append([]graniteknot.Expert{experts[2]}, next.Experts(0, 1)[:3]...))
	f.giveAll(t, prepareRequest(next, preparedMap))
	time.Sleep(time.Second)
	step := uint64(f.group.Show().Step) + 6
	f.giveOrder(t, holder, &wire.GiveRequest{Fence: 1, Kind: int32(held.KindHold), Step: step})
	return step
}

// stagedPeer is a client for a sidecar of which some calls are disturbed.
type stagedPeer struct {
	wire.Ranks
	// beforeGive is called with each order before it is given.
	beforeGive func(*wire.GiveRequest)
	// lookDelay delays the answers of the second to the last delayed look.
	lookDelay time.Duration

	mu    sync.Mutex
	looks int
}

// Look implements wire.Ranks.
func (p *stagedPeer) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	const lastDelayed = 5
	reply, err := p.Ranks.Look(ctx, r)
	p.mu.Lock()
	p.looks++
	delayed := p.looks > 1 && p.looks <= lastDelayed
	p.mu.Unlock()
	if delayed {
		time.Sleep(p.lookDelay)
	}
	return reply, err
}

// Give implements wire.Ranks.
func (p *stagedPeer) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	if p.beforeGive != nil {
		p.beforeGive(r)
	}
	return p.Ranks.Give(ctx, r)
}

// TestCoordinatorDecidesOnWhatItReadUnderItsFence guards against arms for a step that the former coordinator
// releases before the ranks know the new fencing token.
func TestCoordinatorDecidesOnWhatItReadUnderItsFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 1)
		defer f.stop()
		const holder, slow = 0, 3
		step := f.prepareAndHold(t, holder)
		released := false
		var members []*ranks.Member
		for r, e := range f.executors {
			peer := &stagedPeer{Ranks: e, lookDelay: 300 * time.Millisecond}
			switch r {
			case holder:
				peer.beforeGive = func(*wire.GiveRequest) {
					if !released {
						released = true
						_, _ = f.group.Rank(holder).Order(context.Background(), &held.Command{
							Order: held.Order{Kind: held.KindRelease, Step: graniteknot.Step(step), Epoch: 1}, Fence: 1,
						})
					}
				}
			case slow:
				peer.beforeGive = func(r *wire.GiveRequest) {
					if held.Kind(r.GetKind()) == held.KindArm {
						time.Sleep(400 * time.Millisecond)
					}
				}
			}
			members = append(members, ranks.NewMember(graniteknot.Rank(r), peer, sidecarAddress(r), nil))
		}
		f.runFor(f.coordinatorOf(members, 2, 1, 1), 5*time.Second)
		shown := f.checkMapsAgree(t)
		if shown.Held || shown.Mappings[0] < preparedMap {
			t.Errorf("map %d is in force, held %v", shown.Mappings[0], shown.Held)
		}
	})
}
