package ranks_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/standin/obeying"
	"graniteknot.org/go/internal/wire"
)

// refusingRank is an unreachable rank: each order fails at once.
type refusingRank struct {
	*obeying.Rank

	orders int
}

var errRefused = errors.New("connection refused")

// Order implements held.Rank.
func (r *refusingRank) Order(context.Context, *held.Command) (held.Result, error) {
	r.orders++
	return held.ResultUnknown, errRefused
}

// TestFailedOrdersBackOff requires that an order that fails at once is retried a few times,
// not in a busy loop.
func TestFailedOrdersBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 1)
		defer f.stop()
		rank := &refusingRank{Rank: f.group.Rank(0)}
		executor := &ranks.Executor{Rank: rank}
		reply, err := executor.Give(context.Background(), &wire.GiveRequest{Fence: 1, Kind: int32(held.KindRelease), Step: 9, Epoch: 1})
		if err != nil || held.Result(reply.GetResult()) != held.ResultUnknown {
			t.Errorf("reply %v, error %v; want a lost order", reply, err)
		}
		if rank.orders < 2 || rank.orders > 20 {
			t.Errorf("%d attempts, want 2 to 20", rank.orders)
		}
	})
}
