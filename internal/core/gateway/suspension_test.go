package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/standin/keyed"
)

// suspension is for how long a box was suspended: only the clock of ages counts it.
type suspension struct{ atomic.Int64 }

func (s *suspension) Suspended() time.Duration { return time.Duration(s.Load()) }
func (s *suspension) Exact() time.Duration     { return time.Duration(s.Load()) }

// TestSuspendedGatewayTrustsNoKey wakes a gateway from suspensions during which a key was
// taken away, before it has read the store again: it serves nobody whose key could have
// been revoked meanwhile, and everybody again once it has read.
func TestSuspendedGatewayTrustsNoKey(t *testing.T) {
	for suspended, trusts := range map[time.Duration]bool{500 * time.Millisecond: true, 3 * time.Second: true, 30 * time.Second: false} {
		d := &deployment{store: &keyed.Store{}, keys: []string{"k1", "k2"}}
		r := newReplica(t, "i-1")
		d.replica(r, false)
		d.put()
		var away suspension
		// Its key's age is far more than the test takes and than the shorter suspensions.
		b := startWith(t, d.store, &away, func(c *directconf.Config) { c.KeyAge = 20 * time.Second })
		eventually(t, "served", func() bool { return b.ask("/once/x", "k1").status == http.StatusOK })
		d.store.Set(keyed.FaultRefuse)
		d.keys = []string{"k2"}
		d.put()
		ran := len(r.Ran())
		away.Add(int64(suspended))
		status := b.ask("/once/x", "k1").status
		if got := status == http.StatusOK; got != trusts {
			t.Errorf("after %v: %d", suspended, status)
		}
		if !trusts && len(r.Ran()) != ran {
			t.Errorf("after %v a request ran", suspended)
		}
		d.store.Set(keyed.FaultNone)
		eventually(t, "the key is gone", func() bool { return b.ask("/once/x", "k1").status == http.StatusUnauthorized })
		if status := b.ask("/once/x", "k2").status; status != http.StatusOK {
			t.Errorf("after %v the key that is left: %d", suspended, status)
		}
		b.stop()
	}
}

// startWith starts a gateway on a box that is suspended now and then.
func startWith(t *testing.T, store graniteknot.KeyedStore, away graniteknot.Suspension, change func(*directconf.Config)) *box {
	t.Helper()
	return startClocked(t, store, nil, graniteknot.AgeClock{Suspension: away}, change)
}
