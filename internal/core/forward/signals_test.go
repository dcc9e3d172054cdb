package forward_test

import (
	"context"
	"sync"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/quota"
	"graniteknot.org/go/platform/platformtest"
)

// TestReplicaSignalWhileConnecting has a replica signal a backoff, its shutdown or a rate limit
// while a request for it waits for a connection: the request is sent to the other replica,
// which counts neither as an attempt nor as a retry.
func TestReplicaSignalWhileConnecting(t *testing.T) {
	for name, signal := range map[string]fleet.Feedback{
		"backoff": {Backoff: time.Minute}, "leaving": {Leaving: true}, "limit": {Limit: quota.StatedLimit{Present: true}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, catalog.KindOnce, platformtest.Answer("first"), platformtest.Answer("second"))
			r.route.Attempts = 1
			r.forwarder.RetryBudgets = &forward.RetryBudgets{Percent: func() int64 { return 0 }}
			other := r.forwarder.Fleet.Pick(&fleet.Query{Service: &catalog.Service{Name: "s"}, Zone: "z0", Now: time.Now()})
			var once sync.Once
			r.forwarder.ConnLimit = func(*catalog.Service) int {
				once.Do(func() { other.ApplyFeedback(signal, time.Now()) })
				return 0
			}
			// Release the lease, so that the request acquires the same replica.
			other.End(fleet.VerdictNone, time.Now())
			signaled := string(other.Replica.ID)
			result := r.do(context.Background())
			if result.Outcome != graniteknot.OutcomeAnswered || result.Attempts != 1 {
				t.Errorf("unexpected result %+v", result)
			}
			for _, x := range r.replicas {
				if x.ID == signaled && len(x.Seen()) > 0 {
					t.Errorf("%s received the request", x.ID)
				}
			}
		})
	}
}

// TestAllReplicasInBackoff checks that a request is refused at once with a retry delay while all
// replicas back off, and served afterwards by the age clock, which counts suspensions.
func TestAllReplicasInBackoff(t *testing.T) {
	for _, kind := range []catalog.RouteKind{catalog.KindRepeatable, catalog.KindOnce, catalog.KindStream} {
		r := newFixture(t, kind, platformtest.Shed("3"), platformtest.Shed("2"))
		var suspended fakeSuspension
		clock := graniteknot.AgeClock{Suspension: &suspended}
		r.forwarder.Clock, r.forwarder.Fleet.Clock = clock, clock
		if result := r.do(context.Background()); result.Reason != forward.ReasonRefused || result.Attempts != 2 ||
			result.Outcome != graniteknot.OutcomeNotRun || result.RetryAfter < time.Second || result.RetryAfter > 2*time.Second {
			t.Errorf("%v: %+v", kind, result)
		}
		started := time.Now()
		if result := r.do(context.Background()); result.Reason != forward.ReasonReplicaBackoff || result.Attempts != 0 ||
			result.Outcome != graniteknot.OutcomeNotRun || result.RetryAfter < time.Second || result.RetryAfter > 2*time.Second {
			t.Errorf("%v, during the backoff: %+v", kind, result)
		}
		if took := time.Since(started); took > time.Second {
			t.Errorf("%v: refused only after %v", kind, took)
		}
		suspended.Store(int64(2 * time.Second))
		r.request.ReceivedAt = clock.Now()
		if kind == catalog.KindStream {
			r.replicas[1].Always(platformtest.Stream(1, true))
		}
		if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered || result.Replica != "i-1" {
			t.Errorf("%v, after the backoff: %+v", kind, result)
		}
	}
}

// TestRefusalWithFreeReplicaHasNoRetryDelay checks that a refusal by one of two replicas, with no
// second attempt allowed, tells the client no retry delay: the other replica has capacity.
func TestRefusalWithFreeReplicaHasNoRetryDelay(t *testing.T) {
	r := newFixture(t, catalog.KindRepeatable, platformtest.Shed("3"), platformtest.Answer("second"))
	r.route.Attempts = 1
	if result := r.do(context.Background()); result.Reason != forward.ReasonRefused || result.RetryAfter != 0 {
		t.Errorf("unexpected result %+v", result)
	}
	if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered || result.Attempts != 1 {
		t.Errorf("again: %+v", result)
	}
}
