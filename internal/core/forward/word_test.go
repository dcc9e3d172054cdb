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

// TestWordThatComesWhileConnecting has a replica ask for rest, or say that it leaves, while a
// request that was chosen for it waits for a connection: that one goes elsewhere, which
// counts neither as an attempt nor as a retry.
func TestWordThatComesWhileConnecting(t *testing.T) {
	for name, word := range map[string]fleet.Feedback{
		"rest": {Backoff: time.Minute}, "leaving": {Leaving: true}, "limit": {Limit: quota.Word{Named: true}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, catalog.KindOnce, platformtest.Answer("first"), platformtest.Answer("second"))
			r.route.Attempts = 1
			r.forward.RetryBudgets = &forward.RetryBudgets{Percent: func() int64 { return 0 }}
			other := r.forward.Fleet.Pick(&fleet.Query{Service: &catalog.Service{Name: "s"}, Zone: "z0", Now: time.Now()})
			var once sync.Once
			r.forward.ConnLimit = func(*catalog.Service) int {
				once.Do(func() { other.ApplyFeedback(word, time.Now()) })
				return 0
			}
			// Its place is given back, so that the request is chosen for the same replica.
			other.End(fleet.VerdictNone, time.Now())
			said := string(other.Replica.ID)
			result := r.do(context.Background())
			if result.Outcome != graniteknot.OutcomeAnswered || result.Attempts != 1 {
				t.Errorf("%+v", result)
			}
			for _, x := range r.replicas {
				if x.ID == said && len(x.Seen()) > 0 {
					t.Errorf("%s got the request", x.ID)
				}
			}
		})
	}
}

// TestAllRest tells a caller at once, and when to come back, where all replicas rest; the age
// clock decides when, also where the box was suspended meanwhile.
func TestAllRest(t *testing.T) {
	for _, kind := range []catalog.RouteKind{catalog.KindRepeatable, catalog.KindOnce, catalog.KindStream} {
		r := newRig(t, kind, platformtest.Shed("3"), platformtest.Shed("2"))
		var away suspension
		clock := graniteknot.AgeClock{Suspension: &away}
		r.forward.Clock, r.forward.Fleet.Clock = clock, clock
		if result := r.do(context.Background()); result.Reason != forward.ReasonRefused || result.Attempts != 2 ||
			result.Outcome != graniteknot.OutcomeNotRun || result.RetryAfter < time.Second || result.RetryAfter > 2*time.Second {
			t.Errorf("%v: %+v", kind, result)
		}
		began := time.Now()
		if result := r.do(context.Background()); result.Reason != forward.ReasonReplicaBackoff || result.Attempts != 0 ||
			result.Outcome != graniteknot.OutcomeNotRun || result.RetryAfter < time.Second || result.RetryAfter > 2*time.Second {
			t.Errorf("%v, again: %+v", kind, result)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%v: held for %v", kind, took)
		}
		away.Store(int64(2 * time.Second))
		r.request.ReceivedAt = clock.Now()
		if kind == catalog.KindStream {
			r.replicas[1].Always(platformtest.Stream(1, true))
		}
		if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered || result.Replica != "i-1" {
			t.Errorf("%v, after the rest: %+v", kind, result)
		}
	}
}

// TestRefusedOnceComesBackSoon has one of two replicas refuse where no second attempt is
// allowed: the other one has room, so the caller is not sent away for as long as the
// replica rests.
func TestRefusedOnceComesBackSoon(t *testing.T) {
	r := newRig(t, catalog.KindRepeatable, platformtest.Shed("3"), platformtest.Answer("second"))
	r.route.Attempts = 1
	if result := r.do(context.Background()); result.Reason != forward.ReasonRefused || result.RetryAfter != 0 {
		t.Errorf("%+v", result)
	}
	if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered || result.Attempts != 1 {
		t.Errorf("again: %+v", result)
	}
}
