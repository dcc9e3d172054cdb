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

// randomRecords returns records of size bytes that hardly compress.
func randomRecords(seed uint64, size int) []graniteknot.KeyedRecord {
	value := make([]byte, size)
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return []graniteknot.KeyedRecord{{Key: fmt.Sprint(seed), Value: value}}
}

// newSockets opens two sockets on an in-memory network.
func newSockets(t *testing.T, n *network.Network) (client, server *presence.Socket) {
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

// TestFetchWhileRecordsChange fetches records concurrently from a process whose records
// change every few milliseconds. Each fetch must return one consistent set.
func TestFetchWhileRecordsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network.Network{Delay: 2 * time.Millisecond}
		client, server := newSockets(t, n)
		defer client.Close()
		defer server.Close()
		var revision atomic.Uint64
		var cache presence.PackCache
		server.HandleQueries(func(_ context.Context, _ presence.QueryKind, body []byte) ([]byte, error) {
			return cache.ServePart(body, func() (presence.PackedRecords, error) {
				return presence.PackRecords(randomRecords(revision.Add(1), 20_000))
			})
		})
		var clients group.Group
		for range 4 {
			clients.Go(func(ctx context.Context) {
				for range 20 {
					got, err := client.Fetch(ctx, "10.0.0.2:4", partsKind)
					if err != nil {
						t.Errorf("fetch: %v", err)
						return
					}
					var seed uint64
					_, _ = fmt.Sscan(got[0].Key, &seed)
					if !bytes.Equal(got[0].Value, randomRecords(seed, 20_000)[0].Value) {
						t.Error("parts of different sets are mixed")
					}
				}
			})
		}
		clients.Wait()
	})
}

// TestFetchManyParts fetches 2 MB over a link with a 2 ms round trip and 1% packet loss.
func TestFetchManyParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, bound = 2_000_000, 4 * time.Second
		n := &network.Network{Delay: time.Millisecond}
		n.Lose(0.01, 1)
		client, server := newSockets(t, n)
		defer client.Close()
		defer server.Close()
		var cache presence.PackCache
		server.HandleQueries(func(_ context.Context, _ presence.QueryKind, body []byte) ([]byte, error) {
			return cache.ServePart(body, func() (presence.PackedRecords, error) { return presence.PackRecords(randomRecords(1, size)) })
		})
		began := time.Now()
		got, err := client.Fetch(context.Background(), "10.0.0.2:4", partsKind)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > bound || len(got[0].Value) != size {
			t.Errorf("took %v to fetch %d bytes, want at most %v", took, len(got[0].Value), bound)
		}
	})
}
