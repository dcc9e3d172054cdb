package gateway_test

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/keyed"
)

// countingStore counts the calls of one process.
type countingStore struct {
	graniteknot.KeyedStore

	calls atomic.Int32
}

// Read implements graniteknot.KeyedStore.
func (s *countingStore) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (graniteknot.KeyedPage, error) {
	s.calls.Add(1)
	return s.KeyedStore.Read(ctx, t, from, wait)
}

// Newest implements graniteknot.KeyedStore.
func (s *countingStore) Newest(ctx context.Context, t graniteknot.Topic) (graniteknot.KeyedPage, error) {
	s.calls.Add(1)
	return s.KeyedStore.Newest(ctx, t)
}

// TestChangesAreTakenFromReaders changes the configuration and the replicas while one of
// three gateways reads the store: the others are told of both by it, and make no call.
func TestChangesAreTakenFromReaders(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	first := newReplica(t, "i-1")
	d.replica(first, false)
	d.put()
	var boxes []*box
	var ways []*countingStore
	for range 3 {
		way := &countingStore{KeyedStore: store}
		ways = append(ways, way)
		boxes = append(boxes, start(t, way, func(c *directconf.Config) { c.Readers = 1 }))
	}
	defer func() {
		for _, b := range boxes {
			b.stop()
		}
	}()
	eventually(t, "two do not read", func() bool {
		n := 0
		for _, b := range boxes {
			if b.proofs() > 8 {
				n++
			}
		}
		return n == 2
	})
	before := make([]int32, len(ways))
	for i, way := range ways {
		before[i] = way.calls.Load()
	}
	for round := range 3 {
		key := "k" + strconv.Itoa(round+2)
		d.keys = []string{key}
		d.put()
		replica := newReplica(t, "i-"+strconv.Itoa(round+2))
		d.replica(replica, false)
		for _, b := range boxes {
			eventually(t, "the new key is taken", func() bool { return b.ask("/repeat/x", key).status == http.StatusOK })
			eventually(t, "the new replica is used", func() bool {
				b.ask("/repeat/x", key)
				return len(replica.Ran()) > 0
			})
		}
	}
	for i, b := range boxes {
		if calls := ways[i].calls.Load() - before[i]; b.revalidated() && calls > 0 {
			t.Errorf("%s made %d calls to the store", b.Config.Box, calls)
		}
	}
}

// way is one process's way to the store, which may be cut and counts calls.
type way struct {
	cutStore

	calls atomic.Int32
}

// Read implements graniteknot.KeyedStore.
func (w *way) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (graniteknot.KeyedPage, error) {
	w.calls.Add(1)
	return w.cutStore.Read(ctx, t, from, wait)
}

// Newest implements graniteknot.KeyedStore.
func (w *way) Newest(ctx context.Context, t graniteknot.Topic) (graniteknot.KeyedPage, error) {
	w.calls.Add(1)
	return w.cutStore.Newest(ctx, t)
}

// TestReadersStandBy has one of two readers read for five gateways. When the store is
// away for all of them, those that others read for hardly call it, and all serve again
// soon after its return; so they do when the store is away for the reader alone.
func TestReadersStandBy(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	d.replica(newReplica(t, "i-1"), false)
	d.put()
	var boxes []*box
	var ways []*way
	for range 5 {
		w := &way{cutStore: cutStore{KeyedStore: store}}
		ways = append(ways, w)
		boxes = append(boxes, start(t, w, func(c *directconf.Config) { c.Readers = 2 }))
	}
	defer func() {
		for _, b := range boxes {
			b.stop()
		}
	}()
	served := func(b *box) func() bool {
		return func() bool { return b.ask("/repeat/x", "k1").status == http.StatusOK }
	}
	for _, b := range boxes {
		eventually(t, "served", served(b))
	}
	eventually(t, "four do not read", func() bool {
		n := 0
		for _, b := range boxes {
			if b.proofs() > 8 {
				n++
			}
		}
		return n == 4
	})
	calls := func(span time.Duration) (most, all int32) {
		before := make([]int32, len(ways))
		for i, w := range ways {
			before[i] = w.calls.Load()
		}
		time.Sleep(span)
		reader := int32(0)
		for i, w := range ways {
			n := w.calls.Load() - before[i]
			reader, all = max(reader, n), all+n
		}
		return reader, all
	}
	if reader, all := calls(3 * time.Second); all > reader+2 {
		t.Errorf("%d calls, of which the reader made %d", all, reader)
	}
	for _, w := range ways {
		w.cut.Store(true)
	}
	// Each for itself, five gateways make some 100 calls.
	if _, all := calls(4 * time.Second); all > 40 {
		t.Errorf("%d calls while the store is away", all)
	}
	for _, w := range ways {
		w.cut.Store(false)
	}
	for _, b := range boxes {
		eventually(t, "served again", served(b))
	}
	reader := 0
	for i, w := range ways {
		if w.calls.Load() > ways[reader].calls.Load() {
			reader = i
		}
	}
	ways[reader].cut.Store(true)
	// The reader still answers the others, with what it read before.
	for range 60 {
		time.Sleep(100 * time.Millisecond)
		for i, b := range boxes {
			if got := b.ask("/repeat/x", "k1").status; i != reader && got != http.StatusOK {
				t.Fatalf("%s answers %d while the store is away for the reader alone", b.Config.Box, got)
			}
		}
	}
	d.keys = []string{"k2"}
	d.put()
	for _, b := range boxes {
		eventually(t, "a new key is taken without the reader", func() bool { return b.ask("/repeat/x", "k2").status == http.StatusOK })
	}
}

// fakeReader answers what a gateway with some configuration and age of it would.
func fakeReader(t *testing.T, box graniteknot.BoxName, version uint64, age time.Duration, to func() []graniteknot.Address) {
	t.Helper()
	address := graniteknot.Address(loopback() + ":18004")
	socket, err := presence.Listen(context.Background(), address, box, 1, nil, func(*presence.Message) {})
	if err != nil {
		t.Fatal(err)
	}
	socket.HandleQueries(func(_ context.Context, kind presence.QueryKind, _ []byte) ([]byte, error) {
		if kind != 16 {
			return nil, errNoAnswer
		}
		return binary.AppendUvarint(binary.AppendUvarint(nil, version), uint64(age.Microseconds())), nil
	})
	var telling group.Group
	self := presence.Member{Box: box, Role: presence.RoleGateway, Zone: "z", PeerAddress: address, Incarnation: 1}
	telling.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			socket.Send(presence.Message{Ready: true, Self: &self}, to())
			delay.For(ctx, 200*time.Millisecond)
		}
	})
	t.Cleanup(func() {
		telling.Stop()
		socket.Close()
	})
}

var errNoAnswer = errors.New("no answer")

// TestEveryReaderIsAsked has three of four readers answer with what they read too long
// ago, as those do that the store turns away. Each of eight gateways asks the fourth too
// before it doubts what it knows, whichever it asks first.
func TestEveryReaderIsAsked(t *testing.T) {
	const fleet, readers = 8, 4
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	d.put()
	var mu sync.Mutex
	var boxes []*box
	to := func() []graniteknot.Address {
		mu.Lock()
		defer mu.Unlock()
		var out []graniteknot.Address
		for _, b := range boxes {
			out = append(out, b.Config.Peers)
		}
		return out
	}
	for range fleet {
		b := start(t, store, func(c *directconf.Config) { c.Readers = readers })
		defer b.stop()
		mu.Lock()
		boxes = append(boxes, b)
		mu.Unlock()
	}
	// The first by this order read for all.
	names := firstNames(readers)
	for i, name := range names {
		age := 4 * time.Second
		if i == readers-1 {
			age = 10 * time.Millisecond
		}
		fakeReader(t, name, uint64(d.version), age, to)
	}
	for _, b := range boxes {
		eventually(t, "all readers are known", func() bool {
			return len(b.Members.AliveMembers(presence.RoleGateway, b.Config.Box, time.Now())) == fleet+readers-1
		})
	}
	before := map[*box]int{}
	for _, b := range boxes {
		before[b] = b.proofs()
	}
	time.Sleep(2 * time.Second)
	for _, b := range boxes {
		if b.proofs() == before[b] {
			t.Errorf("%s was proved nothing by the reader that reads", b.Config.Box)
		}
	}
}

// firstNames returns names of boxes that come before all others in the readers' order.
func firstNames(n int) []graniteknot.BoxName {
	const low = math.MaxUint64 / 10_000
	var out []graniteknot.BoxName
	for i := 0; len(out) < n; i++ {
		if name := "reader-" + strconv.Itoa(i); xxhash.Sum64String(name) < low {
			out = append(out, graniteknot.BoxName(name))
		}
	}
	return out
}
