package gateway_test

import (
	"net/http"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

// TestRestIsNotLostByALateHeartbeat has a gateway read a heartbeat that was written before the
// replica's next life asked it for rest.
func TestRestIsNotLostByALateHeartbeat(t *testing.T) {
	t.Parallel()
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	resting, marker := newReplica(t, "i-1"), newReplica(t, "i-2")
	resting.Always(platformtest.Answer("ok"))
	beat := func(born graniteknot.Born) {
		d.store.Put(graniteknot.TopicReplicas, resting.ID, platformtest.RecordOfLife("s", resting.Address(), false, born))
	}
	beat(1)
	d.put()
	b := start(t, d.store, func(c *directconf.Config) { c.KeyAge = time.Minute })
	t.Cleanup(b.stop)
	eventually(t, "serves", func() bool { return b.post("/repeat/x", "") == http.StatusOK })
	time.Sleep(300 * time.Millisecond)
	d.store.Set(keyed.FaultSilent)
	beat(1)
	resting.Always(platformtest.Shed("300"))
	before := len(resting.Seen())
	eventually(t, "asks for rest", func() bool {
		b.post("/repeat/x", "")
		return len(resting.Seen()) > before
	})
	resting.Always(platformtest.Answer("ok"))
	d.store.Set(keyed.FaultNone)
	known := func(n int) func() bool {
		return func() bool { all, _ := b.Fleet.Count("s", b.Clock.Now()); return all == n }
	}
	d.replica(marker, true)
	eventually(t, "the heartbeat is read", known(2))
	beat(2)
	d.store.Put(graniteknot.TopicReplicas, marker.ID, nil)
	eventually(t, "the next life is known", known(1))
	before = len(resting.Seen())
	for range 5 {
		b.post("/repeat/x", "")
	}
	if again := len(resting.Seen()) - before; again > 0 {
		t.Errorf("the next life got %d requests though it had asked for rest", again)
	}
}
