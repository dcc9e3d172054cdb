package gateway_test

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/standin/keyed"
)

// revalidated tells whether others proved what a gateway knows.
func (b *box) revalidated() bool { return b.proofs() > 0 }

// proofs counts the times that others proved what a gateway knows.
func (b *box) proofs() int {
	var figures bytes.Buffer
	b.Meter.Write(&figures)
	for line := range strings.Lines(figures.String()) {
		count, found := strings.CutPrefix(line, `graniteknot_revalidations_total{result="proved"} `)
		if n, err := strconv.Atoi(strings.TrimSpace(count)); found && err == nil {
			return n
		}
	}
	return 0
}

// TestOneReaderForAll has one of three gateways read the store: the others see a
// key taken away, a replica that leaves and another one, and go on without the
// reader.
func TestOneReaderForAll(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1", "k2"}}
	first := newReplica(t, "i-1")
	d.replica(first, false)
	d.put()
	var boxes []*box
	for range 3 {
		boxes = append(boxes, start(t, store, func(c *directconf.Config) { c.Readers = 1 }))
	}
	defer func() {
		for _, b := range boxes {
			b.stop()
		}
	}()
	for _, b := range boxes {
		eventually(t, "served", func() bool { return b.ask("/repeat/x", "k1").status == http.StatusOK })
	}
	eventually(t, "two do not read", func() bool {
		n := 0
		for _, b := range boxes {
			if b.revalidated() {
				n++
			}
		}
		return n == 2
	})
	d.keys = []string{"k2"}
	d.put()
	second := newReplica(t, "i-2")
	d.replica(second, false)
	d.replica(first, true)
	for _, b := range boxes {
		eventually(t, "the key is refused", func() bool { return b.ask("/repeat/x", "k1").status == http.StatusUnauthorized })
		eventually(t, "the other replica is used", func() bool {
			b.ask("/repeat/x", "k2")
			return len(second.Ran()) > 0
		})
	}
	left := boxes[:0:0]
	for _, b := range boxes {
		if b.revalidated() {
			left = append(left, b)
			continue
		}
		b.stop()
	}
	boxes = left
	d.keys = []string{"k3"}
	d.put()
	for _, b := range boxes {
		eventually(t, "a new key is taken without the reader", func() bool { return b.ask("/repeat/x", "k3").status == http.StatusOK })
	}
}

// cutStore is a store that one process can be cut off from.
type cutStore struct {
	graniteknot.KeyedStore

	cut atomic.Bool
}

// Read implements graniteknot.KeyedStore.
func (s *cutStore) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (graniteknot.KeyedPage, error) {
	if s.cut.Load() {
		return graniteknot.KeyedPage{}, graniteknot.ErrNotDone
	}
	page, err := s.KeyedStore.Read(ctx, t, from, wait)
	if s.cut.Load() {
		return graniteknot.KeyedPage{}, graniteknot.ErrNotDone
	}
	return page, err
}

// Newest implements graniteknot.KeyedStore.
func (s *cutStore) Newest(ctx context.Context, t graniteknot.Topic) (graniteknot.KeyedPage, error) {
	if s.cut.Load() {
		return graniteknot.KeyedPage{}, graniteknot.ErrNotDone
	}
	return s.KeyedStore.Newest(ctx, t)
}

// TestGatewayGoesOnByItsPeers cuts one gateway off from the store, and not from the
// others: it goes on serving keys for longer than it trusts its own last read, and
// takes a newer configuration from them that it can't read itself.
func TestGatewayGoesOnByItsPeers(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	d.replica(newReplica(t, "i-1"), false)
	d.put()
	way := &cutStore{KeyedStore: store}
	cut := start(t, way, nil)
	defer cut.stop()
	other := start(t, store, nil)
	defer other.stop()
	eventually(t, "served", func() bool { return cut.ask("/repeat/x", "k1").status == http.StatusOK })
	eventually(t, "the other is known", func() bool { return len(cut.listed()) == 2 })
	way.cut.Store(true)
	// Questions come 0.4 s apart, for two topics, so this many take longer
	// than a key is trusted for.
	eventually(t, "peers prove the configuration", func() bool { return cut.proofs() > 30 })
	eventually(t, "served by the peers' word", func() bool { return cut.ask("/repeat/x", "k1").status == http.StatusOK })
	d.keys = []string{"k2"}
	d.put()
	eventually(t, "the key is refused", func() bool { return cut.ask("/repeat/x", "k1").status == http.StatusUnauthorized })
	eventually(t, "the new key is taken", func() bool { return cut.ask("/repeat/x", "k2").status == http.StatusOK })
	if !way.cut.Load() {
		t.Error("the store answered")
	}
}

// TestReaderThatIsCutOffIsNotBelieved cuts the one reader off from the store: it
// goes on answering, but its answers grow old, and the others read for themselves.
// It takes the newer configuration from them.
func TestReaderThatIsCutOffIsNotBelieved(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	d.replica(newReplica(t, "i-1"), false)
	d.put()
	var boxes []*box
	var ways []*cutStore
	for range 3 {
		way := &cutStore{KeyedStore: store}
		b := start(t, way, func(c *directconf.Config) { c.Readers = 1 })
		defer b.stop()
		boxes, ways = append(boxes, b), append(ways, way)
	}
	for _, b := range boxes {
		eventually(t, "served", func() bool { return b.ask("/repeat/x", "k1").status == http.StatusOK })
	}
	reader := -1
	eventually(t, "two do not read", func() bool {
		n := 0
		for i, b := range boxes {
			if b.revalidated() {
				n++
			} else {
				reader = i
			}
		}
		return n == 2
	})
	ways[reader].cut.Store(true)
	d.keys = []string{"k2"}
	d.put()
	for _, b := range boxes {
		eventually(t, "the new key is taken", func() bool { return b.ask("/repeat/x", "k2").status == http.StatusOK })
		if got := b.ask("/repeat/x", "k1").status; got != http.StatusUnauthorized {
			t.Errorf("the key that was taken away: %d", got)
		}
	}
}

// TestKeysGoOnWithoutProof cuts all gateways off from the store: where the operator
// allows it they serve keys on under the last configuration, but one that hears of
// a newer configuration takes that from the gateway that has it, and goes by it.
func TestKeysGoOnWithoutProof(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	d.replica(newReplica(t, "i-1"), false)
	d.put()
	const age = 600 * time.Millisecond
	way := &cutStore{KeyedStore: store}
	cut := start(t, way, func(c *directconf.Config) { c.KeyAge, c.KeysUnproved = age, true })
	defer cut.stop()
	strict := start(t, way, func(c *directconf.Config) { c.KeyAge = age })
	defer strict.stop()
	for _, b := range []*box{cut, strict} {
		eventually(t, "served", func() bool { return b.ask("/repeat/x", "k1").status == http.StatusOK })
	}
	way.cut.Store(true)
	eventually(t, "the strict one refuses", func() bool { return strict.ask("/repeat/x", "k1").status == http.StatusServiceUnavailable })
	if _, old := cut.Catalog.Current(time.Now()); old < age-100*time.Millisecond {
		t.Fatalf("the configuration is only %v old", old)
	}
	if got := cut.ask("/repeat/x", "k1").status; got != http.StatusOK {
		t.Fatalf("the other one: %d", got)
	}
	d.keys = []string{"k2"}
	d.put()
	newer := start(t, store, func(c *directconf.Config) { c.KeyAge, c.KeysUnproved = age, true })
	defer newer.stop()
	eventually(t, "the newer one is taken from the peer", func() bool { return cut.ask("/repeat/x", "k1").status == http.StatusUnauthorized })
	if got := cut.ask("/repeat/x", "k2").status; got != http.StatusOK {
		t.Errorf("the new key: %d", got)
	}
}
