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

// suspension is for how long a box was suspended: only the clock of ages counts it.
type suspension struct{ atomic.Int64 }

func (s *suspension) Suspended() time.Duration { return time.Duration(s.Load()) }
func (s *suspension) Exact() time.Duration     { return time.Duration(s.Load()) }

// whileWaiting calls a function once a request waits for a place at the rig's replica, of
// whose group a report says that it does not run, and then opens it.
func (r *rig) whileWaiting(t *testing.T, service *catalog.Service, then func()) {
	t.Helper()
	r.forward.Fleet.Report(r.replicas[0].Address(), fleet.Load{GroupDown: true, Taken: time.Now().Add(time.Hour)})
	var told group.Group
	told.Go(func(ctx context.Context) {
		for r.forward.Fleet.Queued(service) == 0 && ctx.Err() == nil {
			delay.For(ctx, time.Millisecond)
		}
		then()
		r.forward.Fleet.Report(r.replicas[0].Address(), fleet.Load{Taken: time.Now().Add(2 * time.Hour)})
	})
	t.Cleanup(told.Stop)
}

// waitsForPlace is a job for an engine.
func (r *rig) waitsForPlace() *forward.RoutedRequest {
	r.route.Aim = long
	return &forward.RoutedRequest{
		Request: r.request, Route: r.route, Service: &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 1, Stride: 1}},
		Account: &catalog.Account{Name: "desk"}, RespondBy: time.Now().Add(long),
	}
}

// TestWhatWasTrueBeforeAWait is looked at again after it: a key that can't be proved any
// more and a deadline that passed while the box was suspended reach no replica.
func TestWhatWasTrueBeforeAWait(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration
		stale     bool
		reason    forward.Reason
	}{
		"key too old":           {0, true, forward.ReasonStaleConfig},
		"suspended for 0.5 s":   {500 * time.Millisecond, false, forward.ReasonNone},
		"suspended for 3 s":     {3 * time.Second, false, forward.ReasonNone},
		"suspended for 30 s":    {30 * time.Second, false, forward.ReasonTimeout},
		"both, in that order":   {30 * time.Second, true, forward.ReasonTimeout},
		"stale and a short one": {500 * time.Millisecond, true, forward.ReasonStaleConfig},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, catalog.KindRepeatable, platformtest.Answer("first"))
			var away suspension
			clock := graniteknot.AgeClock{Suspension: &away}
			r.forward.Clock, r.forward.Fleet.Clock = clock, clock
			var stale atomic.Bool
			r.forward.ConfigFresh = func() bool { return !stale.Load() }
			job := r.waitsForPlace()
			r.whileWaiting(t, job.Service, func() {
				away.Add(int64(c.suspended))
				stale.Store(c.stale)
			})
			result := r.forward.Do(context.Background(), job, r.sink)
			if result.Reason != c.reason || (c.reason == forward.ReasonNone) != (r.ran() == 1) {
				t.Errorf("ran %d times, %+v", r.ran(), result)
			}
			if c.reason != forward.ReasonNone && result.Outcome != graniteknot.OutcomeNotRun {
				t.Errorf("%+v", result)
			}
		})
	}
}

// TestRequestsUnderWayEndAfterASuspension cancels at its replica a request whose time was
// over while the box was suspended, and no other.
func TestRequestsUnderWayEndAfterASuspension(t *testing.T) {
	for suspended, ends := range map[time.Duration]bool{500 * time.Millisecond: false, 3 * time.Second: false, 30 * time.Second: true} {
		begun, release := make(chan struct{}), make(chan struct{})
		r := newRig(t, catalog.KindOnce, func(x *platformtest.Exchange) {
			close(begun)
			<-release
			platformtest.Answer("late")(x)
		})
		var away suspension
		r.forward.Clock = graniteknot.AgeClock{Suspension: &away}
		var waits group.Group
		waits.Go(func(context.Context) {
			<-begun
			away.Add(int64(suspended))
			r.forward.CancelExpired()
			if !ends {
				close(release)
			}
		})
		result := r.do(context.Background())
		if ends {
			close(release)
		}
		waits.Wait()
		if got := result.Reason == forward.ReasonTimeout; got != ends {
			t.Errorf("after %v: %+v", suspended, result)
		}
	}
}
