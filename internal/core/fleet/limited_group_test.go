package fleet_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/quota"
)

// newLimitedGroup returns a table of a group of four engines with equal loads, some of them
// with a limit.
func newLimitedGroup(limited int, rate quota.Rate, now time.Time) *fleet.Table {
	table := newGroupTable(4, fleet.Load{Running: 2, Pass: 30 * time.Millisecond, Forecast: fleet.Forecast{Skew: 2.2, Number: 1}}, now)
	for i := range limited {
		life := catalog.Life{ID: catalog.ReplicaID(rune('a' + i))}
		table.ApplyNotice(&quota.Notice{Key: quota.KeyOf(life), Holds: true, Rate: rate}, now)
	}
	return table
}

// TestLimitedRanksKeepGroupCapacity has two of four ranks accept nothing: the others get what
// the whole group has capacity for, up to their slots.
func TestLimitedRanksKeepGroupCapacity(t *testing.T) {
	now := time.Now()
	unlimited := countAccepted(newLimitedGroup(0, 0, now), 1, now)
	twoLimited := countAccepted(newLimitedGroup(2, 0, now), 1, now)
	if want := min(unlimited, 2*(groupedService.Engine.Slots-2)); twoLimited != want {
		t.Errorf("%d requests with two limited ranks, %d without, want %d", twoLimited, unlimited, want)
	}
}

// TestGroupOfLimitedRanks has all four ranks accept 2 requests a second while 40 a second
// arrive: most of the permits are used, and requests without a permit in time are refused at
// once.
func TestGroupOfLimitedRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newLimitedGroup(4, 2, time.Now())
		var mu sync.Mutex
		var wait sync.WaitGroup
		served, late, refused, refusedAtOnce, longestRefusal := 0, 0, 0, 0, time.Duration(0)
		const atOnce = 20 * time.Millisecond
		const callers = 400
		for n := range callers + 80 {
			for i := range 4 {
				id := catalog.ReplicaID(rune('a' + i))
				table.Report(replica(id).Address, fleet.Load{Running: 1, Pass: 30 * time.Millisecond, Forecast: fleet.Forecast{Skew: 1.2, Number: 1}, Taken: time.Now()})
			}
			table.Sweep(time.Now())
			if n >= callers {
				// Queued requests are still served.
				time.Sleep(25 * time.Millisecond)
				continue
			}
			wait.Go(func() {
				now := time.Now()
				q := &fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: now, RequestedAt: now}
				l := table.Acquire(context.Background(), q, fleet.WaitBounds{FirstEventBy: now.Add(500 * time.Millisecond), GiveUpAt: now.Add(1500 * time.Millisecond)})
				mu.Lock()
				defer mu.Unlock()
				if l == nil {
					longestRefusal = max(longestRefusal, time.Since(now))
					refused++
					if time.Since(now) <= atOnce {
						refusedAtOnce++
					}
					return
				}
				served++
				if time.Since(now) > 500*time.Millisecond {
					late++
				}
				l.RecordResponse(time.Now())
				l.End(fleet.VerdictGood, time.Now())
			})
			time.Sleep(25 * time.Millisecond)
		}
		wait.Wait()
		if served < 60 || served > 80 || late > 0 || longestRefusal > 100*time.Millisecond {
			t.Errorf("%d of 80 served, %d of them late; longest wait of a refused one %v", served, late, longestRefusal)
		}
		if 2*refusedAtOnce <= refused {
			t.Errorf("%d of %d refused within %v", refusedAtOnce, refused, atOnce)
		}
	})
}
