package watch_test

import (
	"errors"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/watch"
)

var errAway = errors.New("away")

// TestOwnTroubleIsNotTheStores doubts vanished records after an outage, but not where another
// process read the store just before its return; a read from before the outage shows nothing, and
// after the return of an older copy all is doubted.
func TestOwnTroubleIsNotTheStores(t *testing.T) {
	const doubt = 2500 * time.Millisecond
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		read    float64
		renewed bool
		want    bool
	}{
		"nobody read":                       {read: 0, want: true},
		"another read before":               {read: 1, want: true},
		"another read until the end":        {read: 9.2, want: false},
		"another read, but the copy is old": {read: 9.2, renewed: true, want: true},
	} {
		h := &watch.Health{}
		h.RecordFailure(at(2), errAway)
		if c.read > 0 {
			h.RecordPeerRead(at(c.read))
		}
		if !h.RecentOutage(at(9.5), doubt) {
			t.Errorf("%s: not doubtful while the store is away", name)
		}
		h.RecordSuccess(at(10))
		if c.renewed {
			h.RecordRestore(graniteknot.TopicReplicas, 7, 2, at(10))
		}
		if got := h.RecentOutage(at(10.2), doubt); got != c.want {
			t.Errorf("%s: doubtful %v", name, got)
		}
		if h.RecentOutage(at(13), doubt) {
			t.Errorf("%s: doubtful for too long", name)
		}
	}
}
