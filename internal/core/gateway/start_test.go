package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestGatewaysThatStartTogetherReadOnce starts 45 gateways at once, of which the store has no
// record: they call it four times each at most, and one reads for all. One that starts anew later
// does not wait for others.
func TestGatewaysThatStartTogetherReadOnce(t *testing.T) {
	notUnderRace(t)
	const boxes, first, span, soon = 45, 1100 * time.Millisecond, 5 * time.Second, 200 * time.Millisecond
	// Who it knows is read, registered and read again; one gateway reads the rest each second or so.
	const most = 3*boxes + 20
	inForce := func(f *virtualFleet, all []*virtualBox) time.Duration {
		began := time.Now()
		for _, b := range all {
			for b.inForce() != f.version && time.Since(began) < span {
				time.Sleep(20 * time.Millisecond)
			}
		}
		return time.Since(began)
	}
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, boxes, nil)
		defer f.stop()
		began := time.Now()
		if took := inForce(f, f.boxes); took > first {
			t.Errorf("all have a configuration after %v, %v may be", took, first)
		}
		time.Sleep(span - time.Since(began))
		if calls := f.calls(); calls > most {
			t.Errorf("%d calls to the store, %d may be", calls, most)
		}
		b := f.boxes[3]
		b.kill()
		f.start(b)
		if took := inForce(f, []*virtualBox{b}); took > soon {
			t.Errorf("one that starts anew has a configuration after %v, %v may be", took, soon)
		}
	})
}
