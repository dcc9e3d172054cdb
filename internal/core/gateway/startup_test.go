package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/standin/keyed"
)

// TestYoungGatewayHolds sends a request to a gateway that has just started and is yet to
// read its configuration, as a caller does whose first try ended with a loss of power:
// it is served as soon as the configuration is there, and not refused.
func TestYoungGatewayHolds(t *testing.T) {
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	r := newReplica(t, "i-1")
	d.replica(r, false)
	b := start(t, d.store, nil)
	defer b.stop()
	answers := make(chan answer, 1)
	go func() { answers <- b.ask("/once/x", "k1") }()
	d.put()
	if a := <-answers; a.status != http.StatusOK {
		t.Errorf("%+v", a)
	}
}

// lateStore answers on one topic late.
type lateStore struct {
	graniteknot.KeyedStore

	topic graniteknot.Topic
	late  time.Duration
}

// Newest implements graniteknot.KeyedStore.
func (s *lateStore) Newest(ctx context.Context, t graniteknot.Topic) (graniteknot.KeyedPage, error) {
	if t == s.topic {
		time.Sleep(s.late)
	}
	return s.KeyedStore.Newest(ctx, t)
}

// TestStartingGatewayHoldsUntilItKnowsReplicas sends requests to a gateway that has read its
// configuration and not yet the replicas' records, and to one that has neither.
func TestStartingGatewayHoldsUntilItKnowsReplicas(t *testing.T) {
	for _, late := range []graniteknot.Topic{graniteknot.TopicReplicas, graniteknot.TopicSettings} {
		d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
		d.replica(newReplica(t, "i-1"), false)
		d.put()
		b := start(t, &lateStore{d.store, late, 200 * time.Millisecond}, nil)
		if a := b.ask("/once/x", "k1"); a.status != http.StatusOK {
			t.Errorf("%s late: %+v", late, a)
		}
		b.stop()
	}
}
