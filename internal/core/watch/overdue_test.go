package watch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/watch"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/keyed"
)

// TestLostByAnOverdueRead knows that the store does not answer from when a read is overdue,
// well before it is given up, until one is answered.
func TestLostByAnOverdueRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = time.Second
		store := &keyed.Store{}
		var health watch.Health
		x := watch.Follower{
			Store: store, Topic: "t", Health: &health, PollWait: wait, DetectLoss: true,
			OnNewest: func([]graniteknot.KeyedRecord, time.Time) {}, OnNext: func([]graniteknot.KeyedRecord, time.Time) {},
		}
		var run group.Group
		run.Go(func(ctx context.Context) { x.Run(ctx) })
		defer run.Stop()
		lost := func() bool { return health.Lost(time.Now()) }
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if lost() {
				t.Fatal("lost while the store answers")
			}
		}
		time.Sleep(wait / 2)
		store.Set(keyed.FaultSilent)
		time.Sleep(wait)
		if !lost() {
			t.Error("not lost though a read is overdue")
		}
		time.Sleep(5 * time.Second)
		if !lost() {
			t.Error("not lost though reads fail")
		}
		store.Set(keyed.FaultNone)
		time.Sleep(4 * time.Second)
		if lost() {
			t.Error("lost though the store answers again")
		}
	})
}

// TestSlowStoreIsNotLost waits longer for the answers of a store that has been slow.
func TestSlowStoreIsNotLost(t *testing.T) {
	const took = 250 * time.Millisecond
	var h watch.Health
	now := time.Now()
	for range 3 {
		h.BeginCall("t", now, 0)
		if h.Lost(now.Add(took)) {
			t.Error("lost before the answer is overdue")
		}
		h.EndCall("t", true, took)
	}
	h.BeginCall("t", now, 0)
	if h.Lost(now.Add(2 * took)) {
		t.Error("lost after twice the usual time")
	}
	if !h.Lost(now.Add(4 * took)) {
		t.Error("not lost after four times the usual time")
	}
}

// hangingStore does not answer one of its calls.
type hangingStore struct {
	*keyed.Store

	hang atomic.Bool
}

// Read implements graniteknot.KeyedStore.
func (s *hangingStore) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (graniteknot.KeyedPage, error) {
	if s.hang.CompareAndSwap(true, false) {
		<-ctx.Done()
		return graniteknot.KeyedPage{}, ctx.Err()
	}
	return s.Store.Read(ctx, t, from, wait)
}

// TestReadThatHangsIsMadeAgain loses one answer, as where a connection falls silent: a change
// is seen as soon as the read is overdue, and the store does not count as lost for it.
func TestReadThatHangsIsMadeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, bound = 1500 * time.Millisecond, 1900 * time.Millisecond
		store := &hangingStore{Store: &keyed.Store{}}
		var health watch.Health
		var seen atomic.Int32
		take := func(r []graniteknot.KeyedRecord, _ time.Time) { seen.Add(int32(len(r))) }
		x := watch.Follower{Store: store, Topic: "t", Health: &health, PollWait: wait, DetectLoss: true, OnNewest: take, OnNext: take}
		var run group.Group
		run.Go(func(ctx context.Context) { x.Run(ctx) })
		defer run.Stop()
		time.Sleep(wait / 2)
		store.hang.Store(true)
		time.Sleep(wait)
		store.Put("t", "a", []byte("1"))
		time.Sleep(bound - wait/2)
		if seen.Load() == 0 {
			t.Error("the change was not seen")
		}
		if _, up := health.UpSince(); !up || health.RecentOutage(time.Now(), time.Minute) {
			t.Error("the store counts as lost")
		}
	})
}

// TestLongReadsBeginAnewAfterALoss loses the answers to all calls for a while: a change that a
// long read was waiting for is seen soon after the store's return, not when that read's time is over.
func TestLongReadsBeginAnewAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyed.Store{}
		var health watch.Health
		var seen atomic.Int32
		nothing := func([]graniteknot.KeyedRecord, time.Time) {}
		take := func(r []graniteknot.KeyedRecord, _ time.Time) { seen.Add(int32(len(r))) }
		var run group.Group
		for _, x := range []watch.Follower{
			{Store: store, Topic: "often", Health: &health, PollWait: time.Second, DetectLoss: true, OnNewest: nothing, OnNext: nothing},
			{Store: &mutedStore{Store: store}, Topic: "rarely", Health: &health, PollWait: 20 * time.Second, OnNewest: take, OnNext: take},
		} {
			run.Go(func(ctx context.Context) { x.Run(ctx) })
		}
		defer run.Stop()
		time.Sleep(500 * time.Millisecond)
		store.Set(keyed.FaultLose)
		store.Put("rarely", "a", []byte("1"))
		time.Sleep(4 * time.Second)
		store.Set(keyed.FaultNone)
		time.Sleep(2 * time.Second)
		if seen.Load() == 0 {
			t.Error("the change was not seen")
		}
	})
}

// mutedStore never answers its first read.
type mutedStore struct {
	*keyed.Store

	asked atomic.Bool
}

// Read implements graniteknot.KeyedStore.
func (s *mutedStore) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (graniteknot.KeyedPage, error) {
	if s.asked.CompareAndSwap(false, true) {
		<-ctx.Done()
		return graniteknot.KeyedPage{}, ctx.Err()
	}
	return s.Store.Read(ctx, t, from, wait)
}
