package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// respond has a replica answer a request with feedback now.
func respond(t *testing.T, table *fleet.Table, id catalog.ReplicaID, f fleet.Feedback, now time.Time) {
	t.Helper()
	for range 1000 {
		l := table.Pick(&fleet.Query{Service: plainService, Now: now})
		if l == nil {
			break
		}
		if l.Replica.ID == id {
			l.ApplyFeedback(f, now)
			l.End(fleet.VerdictFull, now)
			return
		}
		l.End(fleet.VerdictNone, now)
	}
	t.Fatalf("%q was never chosen", id)
}

// countChoices counts how often each replica is chosen.
func countChoices(table *fleet.Table, now time.Time) map[catalog.ReplicaID]int {
	out := map[catalog.ReplicaID]int{}
	for range 100 {
		if l := table.Pick(&fleet.Query{Service: plainService, Now: now}); l != nil {
			out[l.Replica.ID]++
			l.End(fleet.VerdictNone, now)
		}
	}
	return out
}

// TestBackoffLastsAsRequested checks that a replica gets no requests until the longest
// backoff it asked for is over, even if it is the only one, and then one request at a time
// until it answers.
func TestBackoffLastsAsRequested(t *testing.T) {
	now := time.Now()
	table := newTable("a")
	first := table.Pick(&fleet.Query{Service: plainService, Now: now})
	second := table.Pick(&fleet.Query{Service: plainService, Now: now})
	if !first.ApplyFeedback(fleet.Feedback{Backoff: 3 * time.Second}, now) {
		t.Error("the first backoff is not a change")
	}
	if second.Allowed(now) {
		t.Error("a request whose replica was chosen before is still allowed")
	}
	second.ApplyFeedback(fleet.Feedback{Backoff: time.Second}, now.Add(100*time.Millisecond))
	first.End(fleet.VerdictFull, now)
	second.End(fleet.VerdictFull, now)
	for _, after := range []time.Duration{0, 1200 * time.Millisecond, 2999 * time.Millisecond} {
		if got := countChoices(table, now.Add(after)); len(got) > 0 {
			t.Errorf("chosen after %v", after)
		}
		if wait := table.TimeUntilAvailable(&fleet.Query{Service: plainService, Now: now.Add(after)}); wait != 3*time.Second-after {
			t.Errorf("after %v: available in %v", after, wait)
		}
	}
	now = now.Add(3 * time.Second)
	if wait := table.TimeUntilAvailable(&fleet.Query{Service: plainService, Now: now}); wait != 0 {
		t.Errorf("available in %v, after the backoff", wait)
	}
	probe := table.Pick(&fleet.Query{Service: plainService, Now: now})
	if probe == nil || !probe.Allowed(now) {
		t.Fatal("not chosen after its backoff")
	}
	if _, usable := table.Count("s", now); usable != 0 {
		t.Error("more than one request may probe it")
	}
	probe.RecordResponse(now)
	if _, usable := table.Count("s", now); usable != 1 {
		t.Error("not usable after it answered")
	}
	probe.End(fleet.VerdictGood, now)
}

// TestOthersAreChosenDuringBackoff checks that all requests go to the other replica while one
// is backing off or leaving.
func TestOthersAreChosenDuringBackoff(t *testing.T) {
	now := time.Now()
	for name, f := range map[string]fleet.Feedback{"backoff": {Backoff: time.Hour}, "leaving": {Leaving: true}} {
		table := newTable("a", "b")
		respond(t, table, "a", f, now)
		if got := countChoices(table, now.Add(time.Minute)); got["a"] > 0 || got["b"] != 100 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// TestFeedbackOutlivesRecords removes records and adds them again: a life's feedback and
// draining mark still apply, but not to the next life with the same ID.
func TestFeedbackOutlivesRecords(t *testing.T) {
	now := time.Now()
	table := newTable("backing-off", "leaving", "draining", "other")
	respond(t, table, "backing-off", fleet.Feedback{Backoff: time.Hour}, now)
	respond(t, table, "leaving", fleet.Feedback{Leaving: true}, now)
	record := replica("draining")
	record.Draining = true
	table.Put(record, now)
	ids := []catalog.ReplicaID{"backing-off", "leaving", "draining"}
	for _, id := range ids {
		table.Remove(id)
	}
	for _, id := range ids {
		table.Put(replica(id), now)
	}
	if got := countChoices(table, now); got["other"] != 100 {
		t.Errorf("after the records came back: %v", got)
	}
	for _, id := range ids {
		next := replica(id)
		next.Born = 7
		table.Put(next, now)
	}
	got := countChoices(table, now)
	for _, id := range ids {
		if got[id] == 0 {
			t.Errorf("the next life of %q is not chosen: %v", id, got)
		}
	}
}

// TestRememberedLivesAreBounded checks that of many lives that came and went the most recently
// updated are kept.
func TestRememberedLivesAreBounded(t *testing.T) {
	now := time.Now()
	table := &fleet.Table{}
	const lives = 5000
	for i := range lives {
		id := catalog.ReplicaID(fmt.Sprint("x", i))
		table.Put(replica(id), now)
		respond(t, table, id, fleet.Feedback{Leaving: true}, now.Add(time.Duration(i)*time.Millisecond))
		table.Remove(id)
	}
	if n := table.RememberedLives(); n > 4096 {
		t.Errorf("%d lives are remembered", n)
	}
	table.Put(replica(catalog.ReplicaID(fmt.Sprint("x", lives-1))), now)
	if got := countChoices(table, now); len(got) > 0 {
		t.Errorf("the latest feedback was dropped: %v", got)
	}
}

// TestQueueDuringBackoff checks that a request waits where the backoff ends in time and is
// refused at once where it doesn't, also when the backoff is asked for while it waits.
func TestQueueDuringBackoff(t *testing.T) {
	for name, c := range map[string]struct {
		backoff, asked time.Duration
		served         bool
		want           time.Duration
	}{
		"in time":                          {300 * time.Millisecond, 0, true, 300 * time.Millisecond},
		"not in time":                      {3 * time.Second, 0, false, 0},
		"not in time, asked while waiting": {3 * time.Second, 200 * time.Millisecond, false, 200 * time.Millisecond},
		"in time, asked while waiting":     {300 * time.Millisecond, 200 * time.Millisecond, true, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkQueueDuringBackoff(t, c.backoff, c.asked, c.served, c.want) })
		})
	}
}

func checkQueueDuringBackoff(t *testing.T, backoff, asked time.Duration, served bool, want time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	table := newTable("a")
	var sweeps sync.WaitGroup
	sweeps.Go(func() { sweepPeriodically(ctx, table) })
	defer sweeps.Wait()
	defer cancel()
	begin := time.Now()
	first := table.Pick(&fleet.Query{Service: engineService, Now: begin})
	if asked > 0 {
		// Meanwhile the group is down, so that the queued request finds no slot.
		table.Report("a", fleet.Load{GroupDown: true, Taken: begin})
		time.AfterFunc(asked, func() {
			table.Report("a", fleet.Load{Taken: time.Now()})
		})
		time.AfterFunc(asked-time.Millisecond, func() { first.ApplyFeedback(fleet.Feedback{Backoff: backoff}, time.Now()) })
	} else {
		first.ApplyFeedback(fleet.Feedback{Backoff: backoff}, begin)
	}
	first.End(fleet.VerdictFull, begin)
	q := &fleet.Query{Service: engineService, Now: time.Now(), RequestedAt: time.Now()}
	l := table.Acquire(ctx, q, fleet.WaitBounds{FirstEventBy: begin.Add(time.Second), GiveUpAt: begin.Add(1500 * time.Millisecond)})
	if (l != nil) != served {
		t.Errorf("served: %v", l != nil)
	}
	const slack = 150 * time.Millisecond
	if got := time.Since(begin); got < want-time.Millisecond || got > want+slack {
		t.Errorf("returned after %v, want %v", got, want)
	}
}

// sweepPeriodically sweeps a table as a gateway does.
func sweepPeriodically(ctx context.Context, table *fleet.Table) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		table.Sweep(time.Now())
	}
}

// TestFailuresOutliveRecords has the record of a failed replica vanish and come back: the
// replica stays ejected. Its next life starts without failures.
func TestFailuresOutliveRecords(t *testing.T) {
	table := newTable("a", "b")
	now := time.Now()
	for range 2 {
		l := table.Pick(&fleet.Query{Service: plainService, Tried: []catalog.Life{{ID: "b"}}, Now: now})
		l.End(fleet.VerdictBad, now)
	}
	table.Remove("a")
	table.Put(replica("a"), now)
	if _, usable := table.Count("s", now); usable != 1 {
		t.Errorf("%d usable after the record came back", usable)
	}
	next := replica("a")
	next.Born, next.Written = 4, 9
	table.Put(next, now)
	if _, usable := table.Count("s", now); usable != 2 {
		t.Errorf("%d usable in the next life", usable)
	}
}
