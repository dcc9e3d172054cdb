package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// TestMapIsToldByItsMoves tells a sidecar a whole map and then another one by how
// it differs: the sidecar knows the first, and its rank gets the second.
func TestMapIsToldByItsMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(small, 1)
		defer b.stop()
		give := func(r *wire.GiveRequest) *wire.GiveReply {
			r.Fence, r.Kind, r.Epoch = 1, int32(held.KindPrepare), 1
			reply, err := b.doers[1].Give(context.Background(), r)
			if err != nil {
				t.Fatal(err)
			}
			return reply
		}
		// Twelve experts in turn on four ranks, three of five places each, in both
		// sets.
		whole := &wire.GiveRequest{Version: 1, Ranks: int32(small.Ranks), Places: int32(small.Slots)}
		for range small.Layers {
			for r := range small.Ranks {
				whole.Placement = append(whole.Placement, int32(r), int32(r+4), int32(r+8), -1, -1)
			}
		}
		if reply := give(whole); held.Result(reply.GetResult()) != held.ResultDone {
			t.Fatalf("%v", reply)
		}
		time.Sleep(10 * expertLoadTime)
		// Expert 11 to rank 1's fourth place in the second set: behind the 20 places of
		// the first set, the five of rank 0 and three of its own.
		moved := &wire.GiveRequest{Version: 2, Base: 1, Moves: []int32{28, 11}}
		reply := give(moved)
		if reply.GetUnknownBase() || held.Result(reply.GetResult()) != held.ResultDone {
			t.Errorf("%v", reply)
		}
	})
}
