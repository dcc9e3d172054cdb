package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// reportAll has all of some engines report the same load now.
func reportAll(t *fleet.Table, engines int, l fleet.Load) {
	l.Taken = time.Now()
	for i := range engines {
		t.Report(replica(catalog.ReplicaID(rune('a'+i))).Address, l)
	}
}

// TestRetriesQueueBehindRequestsInTime overloads a group that has been running: a retry
// queues behind requests that can be in time.
func TestRetriesQueueBehindRequestsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := fleet.Load{Forecast: fleet.Forecast{Skew: 3, Number: 1}}
		table := newGroupTable(2, running, time.Now())
		now := time.Now()
		leases := []*fleet.Lease{}
		for {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			l := table.Acquire(ctx, &fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: now, RequestedAt: now}, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now})
			if l == nil {
				break
			}
			leases = append(leases, l)
		}
		served := make(chan bool, 2)
		for _, retry := range []bool{true, false} {
			go func() {
				q := &fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: time.Now(), RequestedAt: time.Now()}
				w := fleet.WaitBounds{FirstEventBy: time.Now().Add(400 * time.Millisecond), GiveUpAt: time.Now().Add(time.Second)}
				if retry {
					w.FirstEventBy = time.Now().Add(-time.Second)
				}
				if table.Acquire(t.Context(), q, w) != nil {
					served <- retry
				}
			}()
			synctest.Wait()
		}
		for _, l := range leases {
			l.End(fleet.VerdictGood, time.Now())
			synctest.Wait()
		}
		if first := <-served; first {
			t.Error("a retry was served before a request that can be in time")
		}
	})
}

// TestNoWaitForLongDownGroup checks that requests wait for a group that may be about to come
// up, and are refused at once when it has been down for long.
func TestNoWaitForLongDownGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newGroupTable(4, fleet.Load{GroupDown: true}, time.Now())
		waited := func() time.Duration {
			now := time.Now()
			q := &fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: now, RequestedAt: now}
			if l := table.Acquire(t.Context(), q, fleet.WaitBounds{FirstEventBy: now.Add(500 * time.Millisecond), GiveUpAt: now.Add(1500 * time.Millisecond)}); l != nil {
				t.Error("served by a group that is down")
			}
			return time.Since(now)
		}
		if got := waited(); got < time.Second {
			t.Errorf("waited %v for a group that may come up", got)
		}
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			reportAll(table, 4, fleet.Load{GroupDown: true})
		}
		if got := waited(); got != 0 {
			t.Errorf("waited %v for a group that has been down for over six seconds", got)
		}
	})
}
