package fleet_test

import (
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// acquireAt returns a lease that is available at once, or nil.
func acquireAt(t *testing.T, table *fleet.Table, now time.Time) *fleet.Lease {
	t.Helper()
	return table.Acquire(t.Context(), &fleet.Query{Service: engineService, Now: now}, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now})
}

// TestSilentReplicaGetsNoRequests checks that a replica heard neither through its sidecar
// nor by its responses gets no requests, and that its requests are rerouted.
func TestSilentReplicaGetsNoRequests(t *testing.T) {
	table := newTable("a", "b")
	now := time.Now()
	table.Report("a", fleet.Load{Taken: now})
	table.Report("b", fleet.Load{Taken: now, Running: 3})
	lease := acquireAt(t, table, now)
	if lease == nil || lease.Replica.ID != "a" {
		t.Fatal("the idle replica was not chosen")
	}
	rerouted := false
	lease.OnReroute(func() { rerouted = true })
	now = now.Add(time.Second)
	table.Report("b", fleet.Load{Taken: now, Running: 3})
	changed, leases := table.Sweep(now)
	if len(changed) != 1 || changed[0].Replica != "a" || !changed[0].Silent || len(leases) != 1 {
		t.Fatalf("%+v, %d to be rerouted", changed, len(leases))
	}
	leases[0].Reroute()
	if !rerouted {
		t.Error("the request was not rerouted")
	}
	if l := acquireAt(t, table, now); l == nil || l.Replica.ID != "b" {
		t.Error("a silent replica was chosen")
	}
	// Its sidecar is heard again.
	lease.End(fleet.VerdictNone, now)
	table.Report("a", fleet.Load{Taken: now})
	if changed, _ := table.Sweep(now); len(changed) != 1 || changed[0].Silent {
		t.Errorf("%+v after a report", changed)
	}
	if l := acquireAt(t, table, now); l == nil || l.Replica.ID != "a" {
		t.Error("a replica that is heard again was not chosen")
	}
}

// TestResponsesKeepReplicaInUse checks that a replica whose sidecar alone is gone stays in
// use, and that one that isn't heard at all is probed now and then.
func TestResponsesKeepReplicaInUse(t *testing.T) {
	table := newTable("a", "b")
	now := time.Now()
	table.Report("a", fleet.Load{Taken: now})
	table.Report("b", fleet.Load{Taken: now, Running: 3})
	l := acquireAt(t, table, now)
	now = now.Add(time.Second)
	l.RecordResponse(now)
	table.Report("b", fleet.Load{Taken: now, Running: 3})
	if changed, _ := table.Sweep(now); len(changed) != 0 {
		t.Fatalf("%+v of a replica that responds", changed)
	}
	l.End(fleet.VerdictGood, now)
	silentFor := 0
	probes := 0
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		table.Report("b", fleet.Load{Taken: now, Running: 3})
		table.Sweep(now)
		if silentFor++; silentFor <= 7 {
			continue
		}
		got := acquireAt(t, table, now)
		if got.Replica.ID == "a" {
			probes++
		}
		got.End(fleet.VerdictNone, now)
	}
	if probes < 2 || probes > 6 {
		t.Errorf("a silent replica was probed %d times in over four seconds", probes)
	}
}

// TestCutOffGatewayBlamesNoReplica checks that no replica counts as silent when none is
// heard: then this process is cut off or was stopped.
func TestCutOffGatewayBlamesNoReplica(t *testing.T) {
	table := newTable("a", "b")
	now := time.Now()
	for _, id := range []catalog.ReplicaID{"a", "b"} {
		table.Report(replica(id).Address, fleet.Load{Taken: now})
	}
	if changed, _ := table.Sweep(now.Add(time.Minute)); len(changed) != 0 {
		t.Errorf("%+v", changed)
	}
}

// TestStreamsLeaveStraggler checks that requests are rerouted from a rank so slow that a
// single one there makes its whole group's passes too long, and that it gets none. A
// slightly slow rank keeps its requests.
func TestStreamsLeaveStraggler(t *testing.T) {
	for pace, straggler := range map[float64]bool{1.5: false, 12: true} {
		now := time.Now()
		table := newGroupTable(3, fleet.Load{Running: 2, Forecast: fleet.Forecast{Skew: 1.5}}, now)
		leases := map[catalog.ReplicaID]*fleet.Lease{}
		rerouted := 0
		for len(leases) < 3 {
			l := table.Acquire(t.Context(), &fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: now}, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now})
			if l == nil {
				t.Fatal("no free slot")
			}
			l.OnReroute(func() { rerouted++ })
			leases[l.Replica.ID] = l
		}
		now = now.Add(100 * time.Millisecond)
		for id := range leases {
			load := fleet.Load{Running: 2, Pace: 1, Forecast: fleet.Forecast{Skew: 1.5}, Taken: now, Pass: 50 * time.Millisecond}
			if id == "c" {
				load.Pace = pace
			}
			table.Report(replica(id).Address, load)
		}
		_, toReroute := table.Sweep(now)
		for _, l := range toReroute {
			if l.Replica.ID != "c" {
				t.Errorf("a request at %s is rerouted", l.Replica.ID)
			}
			l.Reroute()
		}
		if (rerouted > 0) != straggler {
			t.Errorf("pace %v: %d rerouted", pace, rerouted)
		}
		for range 10 {
			l := table.Acquire(t.Context(), &fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: now}, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now})
			if l != nil && l.Replica.ID == "c" && straggler {
				t.Fatal("a straggler that makes all passes too long got a request")
			}
		}
	}
}

// TestStalledStreamShowsUnreachableReplica checks that a replica whose reports still arrive
// through another gateway counts as unreachable once an own stream there stalls while others
// proceed, but not while all streams stall, as when the whole group stops.
func TestStalledStreamShowsUnreachableReplica(t *testing.T) {
	table := newTable("a", "b")
	now := time.Now()
	report := func() {
		table.Report("a", fleet.Load{Taken: now, Relayed: true})
		table.Report("b", fleet.Load{Taken: now, Relayed: true})
	}
	report()
	first, second := acquireAt(t, table, now), acquireAt(t, table, now)
	if first == nil || second == nil || first.Replica.ID == second.Replica.ID {
		t.Fatal("the two replicas did not get a request each")
	}
	first.RecordResponse(now)
	second.RecordResponse(now)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		report()
		if changed, _ := table.Sweep(now); len(changed) != 0 {
			t.Fatalf("%+v while the whole group stalls", changed)
		}
	}
	first.OnReroute(func() {})
	second.RecordResponse(now)
	changed, toReroute := table.Sweep(now)
	if len(changed) != 1 || changed[0].Replica != first.Replica.ID || !changed[0].Silent || len(toReroute) != 1 {
		t.Errorf("%+v, %d to be rerouted", changed, len(toReroute))
	}
}

// TestRerouteAvoidsBoxesThatFailedTogether freezes two of four boxes, one of which reported a little
// later than the other: a request that leaves the first goes to none that may be frozen too.
func TestRerouteAvoidsBoxesThatFailedTogether(t *testing.T) {
	for range 20 {
		table := newTable("a", "b", "c", "d")
		now := time.Now()
		report := func(ids ...graniteknot.Address) {
			for _, id := range ids {
				table.Report(id, fleet.Load{Taken: now, Pace: 1, Pass: 40 * time.Millisecond})
			}
		}
		report("a", "b", "c", "d")
		now = now.Add(200 * time.Millisecond)
		report("b", "c", "d")
		// From here on a and b are frozen.
		for range 4 {
			now = now.Add(120 * time.Millisecond)
			report("c", "d")
		}
		changed, _ := table.Sweep(now)
		if len(changed) != 1 || changed[0].Replica != "a" {
			t.Fatalf("silent: %+v", changed)
		}
		q := &fleet.Query{Service: engineService, Now: now, Tried: []catalog.Life{{ID: "a"}}}
		l := table.Acquire(t.Context(), q, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now})
		if l == nil || l.Replica.ID == "b" {
			t.Fatalf("rerouted to %v", l)
		}
		// If none was heard, any is better than none.
		q.Tried = []catalog.Life{{ID: "a"}, {ID: "c"}, {ID: "d"}}
		if l := table.Acquire(t.Context(), q, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now}); l == nil || l.Replica.ID != "b" {
			t.Fatalf("with only b left: %v", l)
		}
	}
}
