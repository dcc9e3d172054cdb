package presence_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/network"
)

const partsKind presence.QueryKind = 90

// records returns records that hardly pack, of so many bytes in all.
func records(seed uint64, size int) []graniteknot.KeyedRecord {
	value := make([]byte, size)
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return []graniteknot.KeyedRecord{{Key: fmt.Sprint(seed), Value: value}}
}

// sockets opens two on a network in memory.
func sockets(t *testing.T, n *network.Network) (asker, holder *presence.Socket) {
	t.Helper()
	open := func(a graniteknot.Address) *presence.Socket {
		conn, err := n.ListenPacket(context.Background(), a)
		if err != nil {
			t.Fatal(err)
		}
		return presence.NewSocket(conn, graniteknot.BoxName(a), 1, nil, func(*presence.Message) {})
	}
	return open("10.0.0.1:4"), open("10.0.0.2:4")
}

// TestRecordsThatChangeWhileTheyAreTaken takes records from a process that has others each few
// milliseconds, and that others ask meanwhile: each taking gives one whole set.
func TestRecordsThatChangeWhileTheyAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network.Network{Delay: 2 * time.Millisecond}
		asker, holder := sockets(t, n)
		defer asker.Close()
		defer holder.Close()
		var edition atomic.Uint64
		var shelf presence.PackCache
		holder.HandleQueries(func(_ context.Context, _ presence.QueryKind, body []byte) ([]byte, error) {
			return shelf.ServePart(body, func() (presence.PackedRecords, error) {
				return presence.PackRecords(records(edition.Add(1), 20_000))
			})
		})
		var askers group.Group
		for range 4 {
			askers.Go(func(ctx context.Context) {
				for range 20 {
					got, err := asker.Fetch(ctx, "10.0.0.2:4", partsKind)
					if err != nil {
						t.Errorf("take: %v", err)
						return
					}
					var seed uint64
					_, _ = fmt.Sscan(got[0].Key, &seed)
					if !bytes.Equal(got[0].Value, records(seed, 20_000)[0].Value) {
						t.Error("parts of several sets are mixed")
					}
				}
			})
		}
		askers.Wait()
	})
}

// TestManyPartsAreTakenSoon takes two megabytes over a way of 2 ms that loses some datagrams.
func TestManyPartsAreTakenSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, bound = 2_000_000, 4 * time.Second
		n := &network.Network{Delay: time.Millisecond}
		n.Lose(0.01, 1)
		asker, holder := sockets(t, n)
		defer asker.Close()
		defer holder.Close()
		var shelf presence.PackCache
		holder.HandleQueries(func(_ context.Context, _ presence.QueryKind, body []byte) ([]byte, error) {
			return shelf.ServePart(body, func() (presence.PackedRecords, error) { return presence.PackRecords(records(1, size)) })
		})
		began := time.Now()
		got, err := asker.Fetch(context.Background(), "10.0.0.2:4", partsKind)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > bound || len(got[0].Value) != size {
			t.Errorf("took %v for %d bytes, at most %v", took, len(got[0].Value), bound)
		}
	})
}
