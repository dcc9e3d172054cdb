package gateway_test

import (
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

// TestPartIsTriedOnceSoftwareIsReplaced checks that one request with a quarantined part is let through
// once no replica runs the software that it crashed, not while some do, and that its response ends the
// quarantine.
func TestPartIsTriedOnceSoftwareIsReplaced(t *testing.T) {
	const path = "/stream/"
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	put := func(r *platformtest.Replica, version string) {
		record := strings.Replace(string(platformtest.Record("s", r.Address(), false)), `"v1"`, `"`+version+`"`, 1)
		d.store.Put(graniteknot.TopicReplicas, r.ID, []byte(record))
	}
	replicas := []*platformtest.Replica{newReplica(t, "i-1"), newReplica(t, "i-2"), newReplica(t, "i-3")}
	for _, r := range replicas {
		r.Always(platformtest.Stream(2, true))
	}
	put(replicas[0], "v1")
	put(replicas[1], "v1")
	d.put()
	b := start(t, d.store, nil)
	defer b.stop()
	eventually(t, "serves", func() bool { return b.postParts(path, "aa:60") })
	b.Quarantine.Merge(&quarantine.Entry{
		Key: quarantine.KeyOfPart("m", "bad1", 300), Part: true, Blamed: true, CrashedReplicas: []catalog.Mark{1, 2, 3},
	}, b.Clock.Now())
	bad := func() bool { return b.postParts(path, "bad1:300") }
	// Longer than two looks at the software.
	const settled = 1200 * time.Millisecond
	time.Sleep(settled)
	put(replicas[2], "v2")
	d.store.Put(graniteknot.TopicReplicas, "i-1", nil)
	time.Sleep(settled)
	if bad() {
		t.Error("tried while a replica runs the former software")
	}
	d.store.Put(graniteknot.TopicReplicas, "i-2", nil)
	eventually(t, "is tried and served", bad)
	if !bad() || b.Quarantine.QuarantinedParts() != 0 {
		t.Error("still quarantined")
	}
}
