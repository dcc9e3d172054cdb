package forward_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/platform/platformtest"
)

// fakeSuspension is the total time of suspensions, which only the age clock counts.
type fakeSuspension struct{ atomic.Int64 }

func (s *fakeSuspension) Suspended() time.Duration { return time.Duration(s.Load()) }
func (s *fakeSuspension) Exact() time.Duration     { return time.Duration(s.Load()) }

// whenQueued closes the group of the fixture's replica, calls change once a request is queued
// for it, and then opens the group.
func (r *fixture) whenQueued(t *testing.T, service *catalog.Service, change func()) {
	t.Helper()
	r.forwarder.Fleet.Report(r.replicas[0].Address(), fleet.Load{GroupDown: true, Taken: time.Now().Add(time.Hour)})
	var background group.Group
	background.Go(func(ctx context.Context) {
		for r.forwarder.Fleet.Queued(service) == 0 && ctx.Err() == nil {
			delay.For(ctx, time.Millisecond)
		}
		change()
		r.forwarder.Fleet.Report(r.replicas[0].Address(), fleet.Load{Taken: time.Now().Add(2 * time.Hour)})
	})
	t.Cleanup(background.Stop)
}

// engineRequest returns a request to an engine, which queues while the group is closed.
func (r *fixture) engineRequest() *forward.RoutedRequest {
	r.route.Aim = testTimeout
	return &forward.RoutedRequest{
		Request: r.request, Route: r.route, Service: &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 1, Stride: 1}},
		Account: &catalog.Account{Name: "desk"}, RespondBy: time.Now().Add(testTimeout),
	}
}

// TestConditionsAreRecheckedAfterQueueWait checks that a request reaches no replica if the
// configuration became stale, or if the deadline passed while the box was suspended, during the
// wait for a replica.
func TestConditionsAreRecheckedAfterQueueWait(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration
		stale     bool
		reason    forward.Reason
	}{
		"stale":               {0, true, forward.ReasonStaleConfig},
		"suspended for 0.5 s": {500 * time.Millisecond, false, forward.ReasonNone},
		"suspended for 3 s":   {3 * time.Second, false, forward.ReasonNone},
		"suspended for 30 s":  {30 * time.Second, false, forward.ReasonTimeout},
		"expired and stale":   {30 * time.Second, true, forward.ReasonTimeout},
		"stale after 0.5 s":   {500 * time.Millisecond, true, forward.ReasonStaleConfig},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, catalog.KindRepeatable, platformtest.Answer("first"))
			var total fakeSuspension
			clock := graniteknot.AgeClock{Suspension: &total}
			r.forwarder.Clock, r.forwarder.Fleet.Clock = clock, clock
			var stale atomic.Bool
			r.forwarder.ConfigFresh = func() bool { return !stale.Load() }
			request := r.engineRequest()
			r.whenQueued(t, request.Service, func() {
				total.Add(int64(c.suspended))
				stale.Store(c.stale)
			})
			result := r.forwarder.Do(context.Background(), request, r.sink)
			if result.Reason != c.reason || (c.reason == forward.ReasonNone) != (r.runCount() == 1) {
				t.Errorf("ran %d times, unexpected result %+v", r.runCount(), result)
			}
			if c.reason != forward.ReasonNone && result.Outcome != graniteknot.OutcomeNotRun {
				t.Errorf("unexpected result %+v", result)
			}
		})
	}
}

// TestExpiredRequestsAreCanceledAfterSuspension checks that CancelExpired cancels a request at its
// replica if its deadline passed while the box was suspended, and no other.
func TestExpiredRequestsAreCanceledAfterSuspension(t *testing.T) {
	for suspended, expires := range map[time.Duration]bool{500 * time.Millisecond: false, 3 * time.Second: false, 30 * time.Second: true} {
		begun, release := make(chan struct{}), make(chan struct{})
		r := newFixture(t, catalog.KindOnce, func(x *platformtest.Exchange) {
			close(begun)
			<-release
			platformtest.Answer("late")(x)
		})
		var total fakeSuspension
		r.forwarder.Clock = graniteknot.AgeClock{Suspension: &total}
		var background group.Group
		background.Go(func(context.Context) {
			<-begun
			total.Add(int64(suspended))
			r.forwarder.CancelExpired()
			if !expires {
				close(release)
			}
		})
		result := r.do(context.Background())
		if expires {
			close(release)
		}
		background.Wait()
		if got := result.Reason == forward.ReasonTimeout; got != expires {
			t.Errorf("after %v: %+v", suspended, result)
		}
	}
}
