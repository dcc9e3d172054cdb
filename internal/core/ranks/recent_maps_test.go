package ranks_test

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// placementDigest hashes the experts of all slots, four bytes each.
func placementDigest(experts []int32) uint64 {
	hash := fnv.New64a()
	for _, e := range experts {
		_, _ = hash.Write(binary.BigEndian.AppendUint32(nil, uint32(e)))
	}
	return hash.Sum64()
}

// TestPrepareByMoves sends a sidecar a full map and then another as moves. The sidecar must
// know the first, and its rank must accept the second.
func TestPrepareByMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallShape, 1)
		defer f.stop()
		give := func(r *wire.GiveRequest) *wire.GiveReply {
			r.Fence, r.Kind, r.Epoch = 1, int32(held.KindPrepare), 1
			reply, err := f.executors[1].Give(context.Background(), r)
			if err != nil {
				t.Fatal(err)
			}
			return reply
		}
		// The full map deals twelve experts in turn to four ranks, in three of five slots
		// each, in both sets.
		full := &wire.GiveRequest{Version: 1, Ranks: int32(smallShape.Ranks), Places: int32(smallShape.Slots)}
		for range smallShape.Layers {
			for r := range smallShape.Ranks {
				full.Placement = append(full.Placement, int32(r), int32(r+4), int32(r+8), -1, -1)
			}
		}
		if reply := give(full); held.Result(reply.GetResult()) != held.ResultDone {
			t.Fatalf("full map: %v", reply)
		}
		time.Sleep(10 * expertLoadTime)
		// The move puts expert 11 into rank 1's fourth slot in the second set: it skips the
		// 20 slots of the first set, the five of rank 0 and three of rank 1.
		const movedSlot, movedExpert = 28, 11
		moved := &wire.GiveRequest{Version: 2, Base: 1, Moves: []int32{movedSlot, movedExpert}}
		result := slices.Clone(full.GetPlacement())
		moved.Digest = placementDigest(result)
		if reply := give(moved); !reply.GetUnknownBase() {
			t.Errorf("map as moves with the digest of another map: %v", reply)
		}
		result[movedSlot] = movedExpert
		moved.Digest = placementDigest(result)
		reply := give(moved)
		if reply.GetUnknownBase() || held.Result(reply.GetResult()) != held.ResultDone {
			t.Errorf("map as moves: %v", reply)
		}
	})
}
