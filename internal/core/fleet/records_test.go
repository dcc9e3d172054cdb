package fleet_test

import (
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// TestReplicaWithReusedAddressIsNotChosen checks that a replica whose address another one
// uses counts as ended, in whichever order their records arrive, until that one is gone.
func TestReplicaWithReusedAddressIsNotChosen(t *testing.T) {
	record := func(id catalog.ReplicaID, at graniteknot.Position) catalog.Replica {
		return catalog.Replica{ID: id, Service: "s", Address: "a", Written: at}
	}
	for _, records := range [][]catalog.Replica{
		{record("old", 5), record("new", 9)},
		{record("new", 9), record("old", 5)},
	} {
		table := &fleet.Table{}
		for _, r := range records {
			table.Put(r, time.Now())
		}
		for range 20 {
			if got := pick(table); got != "new" {
				t.Fatalf("chose %q", got)
			}
		}
		if got := pick(table, catalog.Life{ID: "new"}); got != "" {
			t.Errorf("chose %q", got)
		}
		// A late heartbeat of the ended replica, and the next one of the other.
		table.Put(record("old", 10), time.Now())
		table.Put(record("new", 12), time.Now())
		if got := pick(table, catalog.Life{ID: "new"}); got != "" {
			t.Errorf("chose %q after a late heartbeat", got)
		}
		table.Remove("new")
		if got := pick(table); got != "old" {
			t.Errorf("chose %q when the other is gone", got)
		}
	}
}

// TestDigest checks that the digest doesn't depend on the order of replicas or on heartbeats,
// but on each replica and on whether it is draining.
func TestDigest(t *testing.T) {
	same := newTable("a", "b").Digest()
	if got := newTable("b", "a").Digest(); got != same {
		t.Error("the digest depends on the order")
	}
	withHeartbeat := newTable("a", "b")
	heartbeat := replica("a")
	heartbeat.Written = 9
	withHeartbeat.Put(heartbeat, time.Now())
	if withHeartbeat.Digest() != same {
		t.Error("the digest depends on heartbeats")
	}
	withDraining := newTable("a", "b")
	draining := replica("a")
	draining.Draining = true
	withDraining.Put(draining, time.Now())
	for name, other := range map[string]*fleet.Table{"draining": withDraining, "less": newTable("a"), "more": newTable("a", "b", "c")} {
		if other.Digest() == same {
			t.Errorf("%s: the digest is the same", name)
		}
	}
}
