package gateway_test

import (
	"net/http"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

// TestRestIsNotLostByALateHeartbeat has a gateway read a heartbeat that was written before the
// replica's next life asked it for rest.
func TestRestIsNotLostByALateHeartbeat(t *testing.T) {
	t.Parallel()
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	resting, other := newReplica(t, "i-1"), newReplica(t, "i-2")
	resting.Always(platformtest.Answer("ok"))
	other.Always(platformtest.Answer("ok"))
	beat := func(born graniteknot.Born) {
		d.store.Put(graniteknot.TopicReplicas, resting.ID, platformtest.RecordOfLife("s", resting.Address(), false, born))
	}
	beat(1)
	d.replica(other, false)
	d.put()
	b := start(t, d.store, nil)
	t.Cleanup(b.stop)
	eventually(t, "serves", func() bool { return b.post("/repeat/x", "") == http.StatusOK })
	time.Sleep(300 * time.Millisecond)
	d.store.Set(keyed.FaultSilent)
	beat(1)
	resting.Always(platformtest.Shed("300"))
	asked := func(r *platformtest.Replica, times int) func() bool {
		return func() bool {
			b.post("/repeat/x", "")
			return len(r.Seen()) > times
		}
	}
	eventually(t, "asks for rest", asked(resting, len(resting.Seen())))
	before := len(resting.Seen())
	resting.Always(platformtest.Answer("ok"))
	d.store.Set(keyed.FaultNone)
	first, second := newReplica(t, "i-3"), newReplica(t, "i-4")
	first.Always(platformtest.Answer("ok"))
	second.Always(platformtest.Answer("ok"))
	d.replica(first, false)
	eventually(t, "the heartbeat is read", asked(first, 0))
	beat(2)
	d.replica(second, false)
	eventually(t, "the next life is known", asked(second, 0))
	b.askMany("/repeat/x")
	if again := len(resting.Seen()) - before; again > 0 {
		t.Errorf("the next life got %d requests though it had asked for rest", again)
	}
}
