package gateway_test

import (
	"net/http"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/standin/keyed"
)

// What was seen: a request reached a replica 3,320 ms after its record had gone, where 3,000 are
// allowed, in a fleet of 41 gateways whose store had turned four of them away for 9 s.
//
// The order of events: one of the four, which reads for the others, was served again; 0.24 s
// later it read that the record had gone. It took its own trouble for the store's, kept the
// replica for 2 s as one that may register again, and all others went by its word.
//
// The cause: whether a vanished record is to be believed was told by the process's own calls alone,
// though others had read the store, and had proved its records to this one, all the while. The
// doubt was about the store, and was kept as long as this process's own way to it was new.
//
// The evidence: the lines of that gateway, in a second play of the day: store lost at 2.64 s, records of
// a peer at 8.54 s, store regained at 11.89 s, replica lapsed at 12.13 s, gone at 14.31 s; the
// other 40 gateways took it out between 14.38 and 15.25 s.

// TestTurnedAwayGatewayBelievesTheStoreAgain turns one gateway away while another one reads
// and proves, and takes a record out once the first is served again: it lets go of that replica
// within the time after which a leaving one must get nothing.
func TestTurnedAwayGatewayBelievesTheStoreAgain(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	leaves := newReplica(t, "i-1")
	d.replica(leaves, false)
	d.replica(newReplica(t, "i-2"), false)
	d.put()
	way := &cutStore{KeyedStore: store}
	away := start(t, way, nil)
	defer away.stop()
	other := start(t, store, nil)
	defer other.stop()
	eventually(t, "served", func() bool { return away.ask("/repeat/x", "k1").status == http.StatusOK })
	eventually(t, "the other is known", func() bool { return len(away.listed()) == 2 })
	way.cut.Store(true)
	const enough = 20
	eventually(t, "the other one proves what is known", func() bool { return away.proofs() > enough })
	way.cut.Store(false)
	eventually(t, "served by the store again", func() bool { _, up := away.Health.UpSince(); return up })
	store.Put(graniteknot.TopicReplicas, leaves.ID, nil)
	began := time.Now()
	eventually(t, "the replica is let go", func() bool { all, _ := away.Fleet.Count("s", away.Clock.Now()); return all == 1 })
	if took := time.Since(began); took > away.Config.Drain {
		t.Errorf("let go %v after its record had gone", took)
	}
}
