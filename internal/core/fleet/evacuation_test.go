package fleet_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

func replicaIn(id catalog.ReplicaID, zone graniteknot.AvailabilityZone) catalog.Replica {
	r := replica(id)
	r.Zone = zone
	return r
}

func TestEvacuatedReplicaIsNeverChosen(t *testing.T) {
	var table fleet.Table
	long := time.Now().Add(-time.Hour)
	table.Put(replicaIn("a", "north"), long)
	table.Put(replicaIn("b", "south"), long)
	chosen := table.Pick(&fleet.Query{Service: plainService, Tried: []catalog.Life{{ID: "b"}}, Now: time.Now()})
	table.SetEvacuated([]graniteknot.AvailabilityZone{"north"}, time.Now())
	if chosen.Allowed(time.Now()) {
		t.Error("a request that was given the replica before may still be sent")
	}
	table.Put(replicaIn("c", "north"), long)
	moved := replicaIn("b", "north")
	for range 20 {
		if got := pick(&table); got != "b" {
			t.Fatalf("chose %q", got)
		}
	}
	if got := pick(&table, catalog.Life{ID: "b"}); got != "" {
		t.Errorf("chose %q when all others are evacuated", got)
	}
	table.Put(moved, time.Now())
	if got := pick(&table); got != "" {
		t.Errorf("chose %q, which moved to an evacuated zone", got)
	}
	table.SetEvacuated(nil, time.Now())
	if got := pick(&table); got == "" {
		t.Error("chose nothing after the zone was taken back")
	}
}

// TestQueueOfEvacuatedReplicas queues requests at engines that are full, and evacuates a zone and
// then the other one.
func TestQueueOfEvacuatedReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table fleet.Table
		long := time.Now().Add(-time.Hour)
		table.Put(replicaIn("a", "north"), long)
		table.Put(replicaIn("b", "south"), long)
		for _, id := range []graniteknot.Address{"a", "b"} {
			table.Report(id, fleet.Load{Running: 4, Pace: 1, Pass: 40 * time.Millisecond, Taken: time.Now()})
		}
		results := make(chan *fleet.Lease, 2)
		var callers sync.WaitGroup
		defer callers.Wait()
		ask := func() {
			bounds := fleet.WaitBounds{FirstEventBy: time.Now().Add(2 * time.Second), GiveUpAt: time.Now().Add(time.Minute)}
			results <- table.Acquire(context.Background(), &fleet.Query{Service: engineService, Now: time.Now()}, bounds)
		}
		callers.Go(ask)
		synctest.Wait()
		table.SetEvacuated([]graniteknot.AvailabilityZone{"north"}, time.Now())
		table.Report("a", fleet.Load{Pace: 1, Pass: 40 * time.Millisecond, Taken: time.Now().Add(time.Millisecond)})
		synctest.Wait()
		if len(results) > 0 {
			t.Fatal("a queued request was given an evacuated replica, or refused while another one is left")
		}
		table.SetEvacuated([]graniteknot.AvailabilityZone{"north", "south"}, time.Now())
		if l := <-results; l != nil {
			t.Errorf("a queued request was given %s", l.Replica.ID)
		}
		callers.Go(ask)
		if l := <-results; l != nil {
			t.Errorf("a new request was given %s", l.Replica.ID)
		}
		table.SetEvacuated([]graniteknot.AvailabilityZone{"south"}, time.Now())
		callers.Go(ask)
		if l := <-results; l == nil || l.Replica.ID != "a" {
			t.Errorf("got %v after the zone was taken back", l)
		}
	})
}
