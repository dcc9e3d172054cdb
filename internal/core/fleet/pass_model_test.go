package fleet_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// groupedService is a service whose ranks share the work of experts: a pass takes 20 ms, and
// 4 ms more for each decoding request, in nominal time.
var groupedService = &catalog.Service{Name: "s", Engine: &catalog.Engine{
	Slots: 12, Step: 5 * time.Millisecond, PerWriter: time.Millisecond, Stride: 4, Chunk: 512, ReadRate: 50_000,
	Usual:   catalog.Size{Prompt: 800, Answer: 96},
	Experts: &catalog.Experts{Sets: 3, Experts: 96, Places: 11, Fraction: 0.85},
}}

// usefulGap is the longest useful pause of its routes.
const usefulGap = 120 * time.Millisecond

// newGroupTable returns a table of engines that all report the same load.
func newGroupTable(engines int, l fleet.Load, now time.Time) *fleet.Table {
	t := &fleet.Table{}
	for i := range engines {
		id := catalog.ReplicaID(rune('a' + i))
		t.Put(replica(id), now.Add(-time.Hour))
		l.Taken = now
		t.Report(replica(id).Address, l)
	}
	return t
}

// countAccepted counts the requests that are sent at once.
func countAccepted(t *fleet.Table, prompt graniteknot.Tokens, now time.Time) int {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n := 0
	for ; n < 200; n++ {
		q := &fleet.Query{Service: groupedService, MaxGap: usefulGap, Size: catalog.Size{Prompt: prompt}, Now: now, RequestedAt: now}
		if t.Acquire(ctx, q, fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now}) == nil {
			break
		}
	}
	return n
}

// TestCapacityFollowsSkew checks that a group gets as many requests as keep its passes
// within the longest useful pause at its keeper's forecast of the skew.
func TestCapacityFollowsSkew(t *testing.T) {
	now := time.Now()
	for skew, want := range map[float64]int{
		// A request takes 4 ms of decoding and 16 ms / 24 of prefill in each pass:
		// (108 ms - 20 ms) / 4.67 ms is more than the slots.
		1: 4 * 12,
		// The work takes 0.15 + 0.85 * 3 = 2.7 times as long: 88 ms / 2.7 / 4.67 ms = 6.98.
		3: 4*6 + 3,
		// 0.15 + 0.85 * 5 = 4.4 times: 4.28.
		5: 4*4 + 1,
	} {
		table := newGroupTable(4, fleet.Load{Forecast: fleet.Forecast{Skew: skew}}, now)
		if got := countAccepted(table, 0, now); got != want {
			t.Errorf("skew %v: %d requests, want %d", skew, got, want)
		}
	}
	loading := newGroupTable(4, fleet.Load{Forecast: fleet.Forecast{Skew: 3, Loading: true}}, now)
	if got := countAccepted(loading, 0, now); got >= 27 {
		t.Errorf("%d requests while ranks load experts, not fewer than otherwise", got)
	}
}

// TestNewGroupGetsFewRequests checks that a group of which nothing is known, as after all
// boxes lost power, gets only enough requests to show its pass times, shared among gateways.
func TestNewGroupGetsFewRequests(t *testing.T) {
	now := time.Now()
	table := newGroupTable(12, fleet.Load{}, now)
	table.SetGateways(6)
	if got := countAccepted(table, 800, now); got != 4 {
		t.Errorf("one of six gateways sent %d requests to 12 engines, want 4 of 24", got)
	}
}

// TestPrefillIsBounded checks that the prompts read in one pass don't make it too long:
// 0.15 + 0.85 * 3 = 2.7, so 88 ms / 2.7 = 32.6 ms of prefill at each of 12 engines fit
// into a pass without decoding requests; that is 19,600 tokens.
func TestPrefillIsBounded(t *testing.T) {
	now := time.Now()
	table := newGroupTable(12, fleet.Load{Forecast: fleet.Forecast{Skew: 3}}, now)
	got := countAccepted(table, 2000, now)
	if got < 9 || got > 11 {
		t.Errorf("%d prompts of 2,000 tokens at once", got)
	}
	if more := countAccepted(table, 2000, now.Add(60*time.Millisecond)); more < 2 || more > 6 {
		t.Errorf("%d more half a pass later", more)
	}
}

// TestHopelessRequestsAreRefusedAtOnce checks that requests that can be in time are queued
// and others refused on arrival, when many more arrive than the engines can answer.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newGroupTable(2, fleet.Load{Forecast: fleet.Forecast{Skew: 3}}, time.Now())
		const (
			perSecond = 50
			aim       = 500 * time.Millisecond
			last      = 1500 * time.Millisecond
		)
		var refusedAtOnce, refusedLate, served atomic.Int32
		var callers sync.WaitGroup
		for n := range 4 * perSecond {
			time.Sleep(time.Second / perSecond)
			now := time.Now()
			for i := range 2 {
				id := catalog.ReplicaID(rune('a' + i))
				table.Report(replica(id).Address, fleet.Load{Forecast: fleet.Forecast{Skew: 3}, Taken: now})
			}
			callers.Go(func() {
				q := &fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: now, RequestedAt: now}
				l := table.Acquire(t.Context(), q, fleet.WaitBounds{FirstEventBy: now.Add(aim), GiveUpAt: now.Add(last)})
				switch {
				case l != nil:
					time.Sleep(150 * time.Millisecond)
					l.RecordResponse(time.Now())
					time.Sleep(time.Duration(n%8+1) * 500 * time.Millisecond)
					l.End(fleet.VerdictGood, time.Now())
					served.Add(1)
				case time.Since(now) == 0:
					refusedAtOnce.Add(1)
				default:
					refusedLate.Add(1)
				}
			})
		}
		callers.Wait()
		if served.Load() < 25 || refusedAtOnce.Load() < 100 || refusedLate.Load() > served.Load()/3 {
			t.Errorf("%d served, %d refused at once, %d refused after a wait", served.Load(), refusedAtOnce.Load(), refusedLate.Load())
		}
	})
}
