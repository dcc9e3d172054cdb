package gateway_test

import (
	"net/http"
	"testing"
)

// What the soak saw: requests ran whose key had been taken away 6.6 to 7.1 s before, where 5 s may
// pass. The order of events: the store came back from a copy that still had the key, and the
// operator had not yet written again; a gateway started, read the copy, and used it for half a
// second, until other gateways' hellos told it of a newer version. The evidence, from the lines
// of that gateway: started at 22.749 s, configuration 1 at 22.753 s, 2 at 23.258 s; all the refused
// keys' requests between these.

// TestStartAfterADrillUsesNoOlderConfiguration starts a gateway while two others prove a version that
// the store has not: a key that was taken away with it works there at no moment.
func TestStartAfterADrillUsesNoOlderConfiguration(t *testing.T) {
	d := newDrilled(t, 2)
	d.keys = []string{"k2"}
	d.put()
	for _, b := range d.all {
		eventually(t, "the key is refused", func() bool { return b.ask("/repeat/x", "k1").status == http.StatusUnauthorized })
	}
	d.drill()
	late := start(t, d.store, nil)
	t.Cleanup(late.stop)
	served := 0
	eventually(t, "the key is refused at the one that has started", func() bool {
		status := late.ask("/repeat/x", "k1").status
		if status == http.StatusOK {
			served++
		}
		return status == http.StatusUnauthorized
	})
	if served > 0 {
		t.Errorf("%d requests were answered under a key that had been taken away", served)
	}
}
