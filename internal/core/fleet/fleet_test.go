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

var (
	plainService  = &catalog.Service{Name: "s"}
	engineService = &catalog.Service{Name: "s", Engine: &catalog.Engine{
		Slots: 4, Step: 20 * time.Millisecond, PerWriter: 5 * time.Millisecond, Chunk: 512, Stride: 1,
	}}
)

func replica(id catalog.ReplicaID) catalog.Replica {
	return catalog.Replica{ID: id, Service: "s", Address: graniteknot.Address(id)}
}

// newTable returns a table of replicas registered an hour ago.
func newTable(ids ...catalog.ReplicaID) *fleet.Table {
	t := &fleet.Table{}
	for _, id := range ids {
		t.Put(replica(id), time.Now().Add(-time.Hour))
	}
	return t
}

func pick(t *fleet.Table, tried ...catalog.Life) catalog.ReplicaID {
	l := t.Pick(&fleet.Query{Service: plainService, Tried: tried, Now: time.Now()})
	if l == nil {
		return ""
	}
	l.End(fleet.VerdictNone, time.Now())
	return l.Replica.ID
}

func TestDrainingReplicaIsNeverChosen(t *testing.T) {
	table := newTable("a", "b")
	draining := replica("a")
	draining.Draining = true
	table.Put(draining, time.Now())
	// A late heartbeat from before doesn't bring it back.
	table.Put(replica("a"), time.Now())
	for range 20 {
		if got := pick(table); got != "b" {
			t.Fatalf("chose %q", got)
		}
	}
	if got := pick(table, catalog.Life{ID: "b"}); got != "" {
		t.Errorf("chose %q when only the draining one is left", got)
	}
}

// TestLapsedReplicaReturnsOrIsRemoved checks that a replica whose record vanished
// while the store was away is kept until two seconds after the store's return.
func TestLapsedReplicaReturnsOrIsRemoved(t *testing.T) {
	table := newTable("a", "b")
	start := time.Now()
	table.MarkLapsed("a", start)
	table.MarkLapsed("b", start)
	storeBack := start.Add(10 * time.Second)
	if removed := table.RemoveLapsed(storeBack, storeBack.Add(1900*time.Millisecond)); len(removed) != 0 {
		t.Fatalf("removed too early: %v", removed)
	}
	table.Put(replica("b"), storeBack.Add(time.Second))
	if gone := table.RemoveLapsed(storeBack, storeBack.Add(2*time.Second)); len(gone) != 1 || gone[0] != "a" {
		t.Fatalf("removed: %v", gone)
	}
	if got := pick(table); got != "b" {
		t.Errorf("chose %q", got)
	}
}

func TestConsecutiveFailuresEjectReplica(t *testing.T) {
	table := newTable("a", "b")
	now := time.Now()
	for range 2 {
		l := table.Pick(&fleet.Query{Service: plainService, Tried: []catalog.Life{{ID: "b"}}, Now: now})
		l.End(fleet.VerdictBad, now)
	}
	for range 20 {
		if got := pick(table); got != "b" {
			t.Fatalf("chose %q right after failures", got)
		}
	}
	// Later, one request at a time probes it.
	later := now.Add(time.Minute)
	query := &fleet.Query{Service: plainService, Tried: []catalog.Life{{ID: "b"}}, Now: later}
	probe := table.Pick(query)
	if probe == nil || probe.Replica.ID != "a" {
		t.Fatal("the ejected replica was not probed")
	}
	if _, usable := table.Count("s", later); usable != 1 {
		t.Errorf("%d usable while it is probed", usable)
	}
	probe.End(fleet.VerdictGood, later)
	if _, usable := table.Count("s", later); usable != 2 {
		t.Errorf("%d usable after it answered", usable)
	}
}

func TestLeastBusyEngineIsChosen(t *testing.T) {
	table := newTable("a", "b", "c")
	now := time.Now()
	table.Report("a", fleet.Load{Running: 3, Taken: now})
	table.Report("b", fleet.Load{Running: 1, Taken: now})
	table.Report("c", fleet.Load{Running: 1, Waiting: 2, Taken: now})
	got := table.Pick(&fleet.Query{Service: engineService, Now: now})
	if got.Replica.ID != "b" {
		t.Errorf("chose %q", got.Replica.ID)
	}
	// Its own request counts at once; an old report doesn't count forever.
	if next := table.Pick(&fleet.Query{Service: engineService, Now: now}); next.Replica.ID != "b" {
		t.Errorf("chose %q for the second", next.Replica.ID)
	}
	if third := table.Pick(&fleet.Query{Service: engineService, Now: now.Add(time.Hour)}); third.Replica.ID == "b" {
		t.Error("an outdated report still counts")
	}
}

// TestCapacityFollowsPassTime checks that engines with long passes get fewer requests.
func TestCapacityFollowsPassTime(t *testing.T) {
	accepted := func(pass time.Duration, running int) int {
		table := newTable("a")
		now := time.Now()
		table.Report("a", fleet.Load{Running: running, Pass: pass, Taken: now})
		n := 0
		for ; n < 10; n++ {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			query := &fleet.Query{Service: engineService, MaxGap: 100 * time.Millisecond, Now: now}
			if table.Acquire(ctx, query, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now}) == nil {
				break
			}
		}
		return n
	}
	if n := accepted(0, 0); n != 4 {
		t.Errorf("an idle engine got %d, has 4 slots", n)
	}
	if n := accepted(40*time.Millisecond, 2); n != 2 {
		t.Errorf("a fast engine got %d beside 2, has 4 slots", n)
	}
	if n := accepted(50*time.Millisecond, 1); n != 1 {
		t.Errorf("an engine whose passes nearly take the maximum gap got %d beside 1", n)
	}
	// Where no pause can be useful any more, many late responses are worth more than few.
	if n := accepted(400*time.Millisecond, 0); n != 4 {
		t.Errorf("an engine too slow for any gap got %d", n)
	}
}

// TestQueueOrder checks that the more urgent are served first, then those that can
// still be in time, and that a request that waits too long gives up.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("a")
		start := time.Now()
		var leases []*fleet.Lease
		for range 4 {
			leases = append(leases, table.Acquire(t.Context(), &fleet.Query{Service: engineService, Now: start}, fleet.WaitBounds{}))
		}
		order := make(chan string, 4)
		var callers sync.WaitGroup
		wait := func(name string, urgency catalog.Urgency, aim, last time.Duration) {
			query := &fleet.Query{Service: engineService, Urgency: urgency, Now: time.Now()}
			lease := table.Acquire(t.Context(), query, fleet.WaitBounds{FirstEventBy: start.Add(aim), GiveUpAt: start.Add(last)})
			if lease == nil {
				order <- name + " gave up"
				return
			}
			order <- name
			time.Sleep(time.Millisecond)
			lease.End(fleet.VerdictGood, time.Now())
		}
		for _, x := range []struct {
			name      string
			urgency   catalog.Urgency
			aim, last time.Duration
		}{
			{"late", 1, time.Second, time.Hour},
			{"in time", 1, 20 * time.Second, time.Hour},
			{"urgent", 0, time.Second, time.Hour},
			{"impatient", 1, time.Second, 2 * time.Second},
		} {
			callers.Go(func() { wait(x.name, x.urgency, x.aim, x.last) })
		}
		defer callers.Wait()
		time.Sleep(5 * time.Second)
		leases[0].End(fleet.VerdictGood, time.Now())
		for _, want := range []string{"impatient gave up", "urgent", "in time", "late"} {
			if got := <-order; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
	})
}

// TestCrowdedGatewaysKeepToTheirShares checks that each gateway keeps to its share once
// nearly all capacity is used.
func TestCrowdedGatewaysKeepToTheirShares(t *testing.T) {
	table := newTable("a", "b")
	table.SetGateways(4)
	now := time.Now()
	table.Report("a", fleet.Load{Running: 3, Taken: now})
	table.Report("b", fleet.Load{Running: 3, Taken: now})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n := 0
	for table.Acquire(ctx, &fleet.Query{Service: engineService, Now: now}, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now}) != nil {
		n++
	}
	if n != 2 {
		t.Errorf("one of four gateways took %d of 8 slots", n)
	}
}

// TestDownGroupGetsNoRequests checks that a request waits while a group is down and
// proceeds as soon as a report says that it runs.
func TestDownGroupGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("a")
		table.Report("a", fleet.Load{GroupDown: true, Taken: time.Now()})
		var callers sync.WaitGroup
		defer callers.Wait()
		callers.Go(func() {
			time.Sleep(300 * time.Millisecond)
			table.Report("a", fleet.Load{Taken: time.Now()})
		})
		asked := time.Now()
		query := &fleet.Query{Service: engineService, Now: asked, RequestedAt: asked}
		lease := table.Acquire(t.Context(), query, fleet.WaitBounds{FirstEventBy: asked.Add(time.Second), GiveUpAt: asked.Add(time.Second)})
		if lease == nil || time.Since(asked) != 300*time.Millisecond || lease.Inputs.Waited != 300*time.Millisecond {
			t.Errorf("%+v after %v", lease, time.Since(asked))
		}
	})
}

// TestSlowRankGetsFewerRequests checks that a rank that reports to be slow gets fewer
// requests, since its whole group waits for it.
func TestSlowRankGetsFewerRequests(t *testing.T) {
	table := newTable("fast", "slow")
	now := time.Now()
	table.Report("fast", fleet.Load{Pace: 1, Taken: now})
	table.Report("slow", fleet.Load{Pace: 2, Taken: now})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	got := map[catalog.ReplicaID]int{}
	for range 10 {
		if l := table.Acquire(ctx, &fleet.Query{Service: engineService, Now: now}, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now}); l != nil {
			got[l.Replica.ID]++
		}
	}
	if got["fast"] != 4 || got["slow"] != 2 {
		t.Errorf("%v of 4 slots each, one at half the speed", got)
	}
}

// TestNewEngineWaitsForFirstReport checks that a newly registered engine gets no requests
// until its sidecar reports that it runs, or it is taken to have no sidecar.
func TestNewEngineWaitsForFirstReport(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	now := time.Now()
	acquire := func(table *fleet.Table, at time.Time) bool {
		return table.Acquire(ctx, &fleet.Query{Service: engineService, Now: at}, fleet.WaitBounds{FirstEventBy: at, GiveUpAt: at}) != nil
	}
	table := &fleet.Table{}
	table.Put(replica("a"), now)
	if acquire(table, now) {
		t.Error("a new engine got a request before its report")
	}
	if !acquire(table, now.Add(2*time.Second)) {
		t.Error("an engine without a sidecar got no request")
	}
	table = &fleet.Table{}
	table.Put(replica("a"), now)
	table.Report("a", fleet.Load{Taken: now})
	if !acquire(table, now) {
		t.Error("a running engine got no request")
	}
}
