package watch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/watch"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/keyed"
)

// follower keeps what a Follower was told.
type follower struct {
	mu     sync.Mutex
	values map[string]string
	proved time.Time
	resets int
	health watch.Health
	run    group.Group
}

func follow(store *keyed.Store, wait time.Duration) *follower {
	f := &follower{values: map[string]string{}}
	x := watch.Follower{
		Store: store, Topic: "t", Health: &f.health, PollWait: wait,
		OnNewest: func(r []graniteknot.KeyedRecord, began time.Time) { f.reset(); f.take(r, began) }, OnNext: f.take,
	}
	f.run.Go(func(ctx context.Context) { x.Run(ctx) })
	return f
}

func (f *follower) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resets++
	f.values = map[string]string{}
}

func (f *follower) take(records []graniteknot.KeyedRecord, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proved = began
	for _, r := range records {
		f.values[r.Key] = string(r.Value)
	}
}

func (f *follower) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[key]
}

func (f *follower) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.proved)
}

func TestFollowerSeesChangesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyed.Store{}
		store.Put("t", "a", []byte("1"))
		f := follow(store, time.Second)
		defer f.run.Stop()
		time.Sleep(10 * time.Millisecond)
		store.Put("t", "a", []byte("2"))
		store.Put("t", "b", []byte("3"))
		synctest.Wait()
		if f.value("a") != "2" || f.value("b") != "3" {
			t.Error("a change was not seen at once")
		}
		calls := store.Calls()
		time.Sleep(10 * time.Second)
		if made := store.Calls() - calls; made > 25 {
			t.Errorf("%d calls in ten quiet seconds", made)
		}
		// A read of a second proves what it found from its begin on, and stands
		// until the next one has ended.
		if f.age() > 2*time.Second {
			t.Errorf("proved %v ago", f.age())
		}
	})
}

// TestFollowerThroughOutages loses nothing by any fault of the store, and knows
// when it was away.
func TestFollowerThroughOutages(t *testing.T) {
	for _, fault := range []keyed.Fault{keyed.FaultSilent, keyed.FaultRefuse, keyed.FaultLose} {
		synctest.Test(t, func(t *testing.T) {
			store := &keyed.Store{}
			f := follow(store, time.Second)
			defer f.run.Stop()
			time.Sleep(2 * time.Second)
			store.Set(fault)
			store.Put("t", "a", []byte("1"))
			time.Sleep(5 * time.Second)
			if !f.health.RecentOutage(time.Now(), 0) {
				t.Error("the outage was not noticed")
			}
			store.Set(keyed.FaultNone)
			// A call that was under way ends after a second, the pause after it is
			// at most 750 ms, and the next read waits for a second.
			time.Sleep(3 * time.Second)
			if f.value("a") != "1" {
				t.Error("a change during the outage is missing")
			}
			if back, up := f.health.UpSince(); !up || time.Since(back) > 3*time.Second {
				t.Error("the store's return was not noticed")
			}
			if !f.health.RecentOutage(time.Now(), time.Minute) || f.health.RecentOutage(time.Now().Add(time.Hour), time.Minute) {
				t.Error("doubt does not end")
			}
		})
	}
}

func TestFollowerBeginsAnewAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyed.Store{}
		store.Put("t", "a", []byte("1"))
		f := follow(store, time.Second)
		defer f.run.Stop()
		time.Sleep(time.Second)
		store.Set(keyed.FaultRefuse)
		store.Put("t", "a", nil)
		store.Put("t", "b", []byte("2"))
		store.Trim("t")
		time.Sleep(time.Second)
		store.Set(keyed.FaultNone)
		time.Sleep(2 * time.Second)
		if f.value("a") != "" || f.value("b") != "2" || f.resets != 2 {
			t.Errorf("a %q, b %q, begun %d times", f.value("a"), f.value("b"), f.resets)
		}
	})
}

// TestOldCallTellsNothing keeps a read that waited through an outage, and fails
// after it, from looking like another one.
func TestOldCallTellsNothing(t *testing.T) {
	var h watch.Health
	start := time.Now()
	h.RecordFailure(start.Add(time.Second), graniteknot.ErrNotDone)
	h.RecordSuccess(start.Add(2 * time.Second))
	h.RecordFailure(start, graniteknot.ErrNotDone)
	if _, up := h.UpSince(); !up {
		t.Error("an old call made the store look lost")
	}
	h.RecordFailure(start.Add(3*time.Second), graniteknot.ErrNotDone)
	if _, up := h.UpSince(); up {
		t.Error("a new call did not")
	}
}

// TestFollowerIsSoonBack sees a change soon after the store's return, whenever
// in its calls the store came back: a call that hangs from before does not count.
func TestFollowerIsSoonBack(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for away := 5 * time.Second; away < 9*time.Second; away += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store := &keyed.Store{}
			f := follow(store, 1500*time.Millisecond)
			defer f.run.Stop()
			time.Sleep(3 * time.Second)
			store.Set(keyed.FaultSilent)
			time.Sleep(away)
			store.Set(keyed.FaultNone)
			store.Put("t", "a", []byte("1"))
			time.Sleep(bound)
			if f.value("a") != "1" {
				t.Errorf("after %v away, a change was not seen within %v", away, bound)
			}
		})
	}
}

// TestRevalidatedFollowerDoesNotRead asks the store for nothing while another process proves
// that nothing has changed, and for the newest records afterwards.
func TestRevalidatedFollowerDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyed.Store{}
		store.Put("t", "a", []byte("1"))
		var valid atomic.Bool
		valid.Store(true)
		f := &follower{values: map[string]string{}}
		x := watch.Follower{
			Store: store, Topic: "t", Health: &f.health, PollWait: time.Second,
			OnNewest:   func(r []graniteknot.KeyedRecord, began time.Time) { f.reset(); f.take(r, began) },
			OnNext:     f.take,
			Revalidate: func(context.Context) bool { return valid.Load() }, RevalidateInterval: 100 * time.Millisecond,
		}
		f.run.Go(func(ctx context.Context) { x.Run(ctx) })
		defer f.run.Stop()
		time.Sleep(time.Second)
		calls := store.Calls()
		store.Put("t", "a", []byte("2"))
		time.Sleep(10 * time.Second)
		if made := store.Calls() - calls; made != 0 {
			t.Errorf("%d calls while nothing changed", made)
		}
		// A call that fails in between changes nothing.
		store.Set(keyed.FaultRefuse)
		valid.Store(false)
		time.Sleep(200 * time.Millisecond)
		valid.Store(true)
		time.Sleep(time.Second)
		calls = store.Calls()
		store.Set(keyed.FaultNone)
		time.Sleep(10 * time.Second)
		if made := store.Calls() - calls; made != 0 || f.value("a") != "1" {
			t.Errorf("%d calls while nothing changed, value %q", made, f.value("a"))
		}
		valid.Store(false)
		time.Sleep(200 * time.Millisecond)
		if f.value("a") != "2" || f.resets != 2 {
			t.Errorf("value %q after it, begun %d times", f.value("a"), f.resets)
		}
	})
}
