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

// says has a replica say something in an answer to a request that it gets now.
func says(t *testing.T, table *fleet.Table, id catalog.ReplicaID, w fleet.Feedback, now time.Time) {
	t.Helper()
	for range 1000 {
		l := table.Pick(&fleet.Query{Service: plain, Now: now})
		if l == nil {
			break
		}
		if l.Replica.ID == id {
			l.ApplyFeedback(w, now)
			l.End(fleet.VerdictFull, now)
			return
		}
		l.End(fleet.VerdictNone, now)
	}
	t.Fatalf("%q is not chosen", id)
}

// chosen counts how often each replica is chosen.
func chosen(table *fleet.Table, now time.Time) map[catalog.ReplicaID]int {
	out := map[catalog.ReplicaID]int{}
	for range 100 {
		if l := table.Pick(&fleet.Query{Service: plain, Now: now}); l != nil {
			out[l.Replica.ID]++
			l.End(fleet.VerdictNone, now)
		}
	}
	return out
}

// TestRestEndsWhenItWasSaidTo gives a replica rest until its longest word is over, also
// where it is the only one, and then one request at a time until it answers.
func TestRestEndsWhenItWasSaidTo(t *testing.T) {
	now := time.Now()
	table := with("a")
	l := table.Pick(&fleet.Query{Service: plain, Now: now})
	late := table.Pick(&fleet.Query{Service: plain, Now: now})
	if !l.ApplyFeedback(fleet.Feedback{Backoff: 3 * time.Second}, now) {
		t.Error("a first word is nothing new")
	}
	if late.Allowed(now) {
		t.Error("a request that was chosen before is allowed still")
	}
	late.ApplyFeedback(fleet.Feedback{Backoff: time.Second}, now.Add(100*time.Millisecond))
	l.End(fleet.VerdictFull, now)
	late.End(fleet.VerdictFull, now)
	for _, after := range []time.Duration{0, 1200 * time.Millisecond, 2999 * time.Millisecond} {
		if got := chosen(table, now.Add(after)); len(got) > 0 {
			t.Errorf("chosen after %v", after)
		}
		if rest := table.TimeUntilAvailable(&fleet.Query{Service: plain, Now: now.Add(after)}); rest != 3*time.Second-after {
			t.Errorf("after %v rested in %v", after, rest)
		}
	}
	now = now.Add(3 * time.Second)
	if rest := table.TimeUntilAvailable(&fleet.Query{Service: plain, Now: now}); rest != 0 {
		t.Errorf("rested in %v, after the rest", rest)
	}
	trial := table.Pick(&fleet.Query{Service: plain, Now: now})
	if trial == nil || !trial.Allowed(now) {
		t.Fatal("not chosen after its rest")
	}
	if _, usable := table.Count("s", now); usable != 0 {
		t.Error("more than one request finds out whether it takes any")
	}
	trial.RecordResponse(now)
	if _, usable := table.Count("s", now); usable != 1 {
		t.Error("not usable after it answered")
	}
	trial.End(fleet.VerdictGood, now)
}

// TestOthersAreChosenMeanwhile sends nothing to the one that rests, and all to the other.
func TestOthersAreChosenMeanwhile(t *testing.T) {
	now := time.Now()
	for name, w := range map[string]fleet.Feedback{"rest": {Backoff: time.Hour}, "leaving": {Leaving: true}} {
		table := with("a", "b")
		says(t, table, "a", w, now)
		if got := chosen(table, now.Add(time.Minute)); got["a"] > 0 || got["b"] != 100 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// TestWordsOutliveRecords takes records out and puts them in again: what the life said holds,
// in its answers as in its record, and the next life under the id has said nothing.
func TestWordsOutliveRecords(t *testing.T) {
	now := time.Now()
	table := with("rests", "leaves", "drains", "other")
	says(t, table, "rests", fleet.Feedback{Backoff: time.Hour}, now)
	says(t, table, "leaves", fleet.Feedback{Leaving: true}, now)
	leaving := replica("drains")
	leaving.Draining = true
	table.Put(leaving, now)
	said := []catalog.ReplicaID{"rests", "leaves", "drains"}
	for _, id := range said {
		table.Remove(id)
	}
	for _, id := range said {
		table.Put(replica(id), now)
	}
	if got := chosen(table, now); got["other"] != 100 {
		t.Errorf("after the records came again: %v", got)
	}
	for _, id := range said {
		next := replica(id)
		next.Born = 7
		table.Put(next, now)
	}
	got := chosen(table, now)
	for _, id := range said {
		if got[id] == 0 {
			t.Errorf("the next life of %q is not chosen: %v", id, got)
		}
	}
}

// TestWordsAreBounded remembers the latest words of many lives that came and went.
func TestWordsAreBounded(t *testing.T) {
	now := time.Now()
	table := &fleet.Table{}
	const lives = 5000
	for i := range lives {
		id := catalog.ReplicaID(fmt.Sprint("x", i))
		table.Put(replica(id), now)
		says(t, table, id, fleet.Feedback{Leaving: true}, now.Add(time.Duration(i)*time.Millisecond))
		table.Remove(id)
	}
	if n := table.RememberedLives(); n > 4096 {
		t.Errorf("%d words are remembered", n)
	}
	table.Put(replica(catalog.ReplicaID(fmt.Sprint("x", lives-1))), now)
	if got := chosen(table, now); len(got) > 0 {
		t.Errorf("the last word is forgotten: %v", got)
	}
}

// TestWhoWaitsForRestedReplicas waits where the rest is over in time, and is told at once
// where it is not, also when that is said while it waits.
func TestWhoWaitsForRestedReplicas(t *testing.T) {
	for name, c := range map[string]struct {
		rest, before time.Duration
		served       bool
		took         time.Duration
	}{
		"in time":                 {300 * time.Millisecond, 0, true, 300 * time.Millisecond},
		"not in time":             {3 * time.Second, 0, false, 0},
		"said while one waits":    {3 * time.Second, 200 * time.Millisecond, false, 200 * time.Millisecond},
		"in time, said meanwhile": {300 * time.Millisecond, 200 * time.Millisecond, true, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { waits(t, c.rest, c.before, c.served, c.took) })
		})
	}
}

func waits(t *testing.T, rest, before time.Duration, served bool, took time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	table := with("a")
	var looks sync.WaitGroup
	looks.Go(func() { watch(ctx, table) })
	defer looks.Wait()
	defer cancel()
	begin := time.Now()
	first := table.Pick(&fleet.Query{Service: engine, Now: begin})
	if before > 0 {
		// Meanwhile the group is closed, so that the one who waits finds no room.
		table.Report("a", fleet.Load{GroupDown: true, Taken: begin})
		time.AfterFunc(before, func() {
			table.Report("a", fleet.Load{Taken: time.Now()})
		})
		time.AfterFunc(before-time.Millisecond, func() { first.ApplyFeedback(fleet.Feedback{Backoff: rest}, time.Now()) })
	} else {
		first.ApplyFeedback(fleet.Feedback{Backoff: rest}, begin)
	}
	first.End(fleet.VerdictFull, begin)
	q := &fleet.Query{Service: engine, Now: time.Now(), RequestedAt: time.Now()}
	l := table.Acquire(ctx, q, fleet.WaitBounds{FirstEventBy: begin.Add(time.Second), GiveUpAt: begin.Add(1500 * time.Millisecond)})
	if (l != nil) != served {
		t.Errorf("served: %v", l != nil)
	}
	const slack = 150 * time.Millisecond
	if got := time.Since(begin); got < took-time.Millisecond || got > took+slack {
		t.Errorf("told after %v, want %v", got, took)
	}
}

// watch looks at a table as a gateway does.
func watch(ctx context.Context, table *fleet.Table) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		table.Sweep(time.Now())
	}
}

// TestFailuresOutliveRecords has the record of a replica that failed vanish and come again: it is
// still left alone. Its next life has failed nobody.
func TestFailuresOutliveRecords(t *testing.T) {
	table := with("a", "b")
	now := time.Now()
	for range 2 {
		l := table.Pick(&fleet.Query{Service: plain, Tried: []catalog.Life{{ID: "b"}}, Now: now})
		l.End(fleet.VerdictBad, now)
	}
	table.Remove("a")
	table.Put(replica("a"), now)
	if _, usable := table.Count("s", now); usable != 1 {
		t.Errorf("%d usable after the record came again", usable)
	}
	next := replica("a")
	next.Born, next.Written = 4, 9
	table.Put(next, now)
	if _, usable := table.Count("s", now); usable != 2 {
		t.Errorf("%d usable in the next life", usable)
	}
}
