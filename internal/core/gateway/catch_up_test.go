package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/standin/keyed"
)

// heldStore answers no read of the settings while it is held, and tells no failure either.
type heldStore struct {
	graniteknot.KeyedStore

	held atomic.Bool
}

// Read implements graniteknot.KeyedStore.
func (s *heldStore) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (graniteknot.KeyedPage, error) {
	page, err := s.KeyedStore.Read(ctx, t, from, wait)
	if t == graniteknot.TopicSettings && s.held.Load() {
		<-ctx.Done()
		return graniteknot.KeyedPage{}, graniteknot.ErrNotDone
	}
	return page, err
}

// TestTakesNewerSettingsThanTheStoreShows has one gateway's reads of the settings hang, while
// another one reads a newer version: the first takes it from there.
func TestTakesNewerSettingsThanTheStoreShows(t *testing.T) {
	t.Parallel()
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	d.replica(newReplica(t, "i-1"), false)
	d.put()
	way := &heldStore{KeyedStore: store}
	held := start(t, way, nil)
	t.Cleanup(held.stop)
	other := start(t, store, nil)
	t.Cleanup(other.stop)
	for _, b := range []*box{held, other} {
		eventually(t, "serves, and knows the other", func() bool {
			return b.ask("/repeat/x", "k1").status == http.StatusOK && len(b.listed()) == 2
		})
	}
	way.held.Store(true)
	d.put()
	over := time.Now().Add(keyAge)
	for version(held) != catalog.Version(d.version) {
		if time.Now().After(over) {
			t.Fatalf("it has version %d still, the other one %d", version(held), version(other))
		}
		time.Sleep(10 * time.Millisecond)
	}
}
