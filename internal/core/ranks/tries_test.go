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

// refusing is a rank that can't be reached: each order fails at once.
type refusing struct {
	*obeying.Rank

	orders int
}

var errRefused = errors.New("connection refused")

// Order implements held.Rank.
func (r *refusing) Order(context.Context, *held.Command) (held.Result, error) {
	r.orders++
	return held.ResultLost, errRefused
}

// TestFailedOrdersPause tries an order that fails at once a few times, and not as
// often as the processor can.
func TestFailedOrdersPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(small, 1)
		defer b.stop()
		rank := &refusing{Rank: b.group.Rank(0)}
		doer := &ranks.Executor{Rank: rank}
		reply, err := doer.Give(context.Background(), &wire.GiveRequest{Fence: 1, Kind: int32(held.KindGo), Step: 9, Epoch: 1})
		if err != nil || held.Result(reply.GetResult()) != held.ResultLost {
			t.Errorf("%v, %v", reply, err)
		}
		if rank.orders < 2 || rank.orders > 20 {
			t.Errorf("tried %d times", rank.orders)
		}
	})
}
