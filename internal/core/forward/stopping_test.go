package forward_test

import (
	"context"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/platform/platformtest"
)

// TestRequestIsNotForwardedBeyondItsBound guards against requests that a stopping process passes on although it might not see their ends.
func TestRequestIsNotForwardedBeyondItsBound(t *testing.T) {
	for name, kind := range allKinds {
		r := newFixture(t, kind, platformtest.Answer("ok"))
		var asked time.Time
		r.forwarder.ForwardBy = func(respondBy time.Time) time.Time {
			asked = respondBy
			return time.Now().Add(-time.Millisecond)
		}
		result := r.do(context.Background())
		if result.Outcome != graniteknot.OutcomeNotRun || result.Reason != forward.ReasonStopping || r.runCount() > 0 {
			t.Errorf("%s: %+v, ran %d times", name, result, r.runCount())
		}
		if asked.IsZero() {
			t.Errorf("%s: not asked with the request's deadline", name)
		}
	}
}

// TestWaitEndsAtTheForwardBound guards against a request that waits for capacity although it would not be forwarded any more.
func TestWaitEndsAtTheForwardBound(t *testing.T) {
	r := newFixture(t, catalog.KindOnce, platformtest.Answer("ok"))
	// The report keeps the group closed for the whole test.
	r.forwarder.Fleet.Report(r.replicas[0].Address(), fleet.Load{GroupDown: true, Taken: time.Now().Add(time.Hour)})
	by := time.Now().Add(200 * time.Millisecond)
	r.forwarder.ForwardBy = func(time.Time) time.Time { return by }
	result := r.forwarder.Do(context.Background(), r.engineRequest(), r.sink)
	if late := time.Since(by); result.Outcome != graniteknot.OutcomeNotRun || result.Reason != forward.ReasonStopping || late < 0 || late > time.Second {
		t.Errorf("%+v, %v after the bound", result, late)
	}
}

// TestLostRequestIsNotRepeatedBeyondItsBound guards against a second attempt that a stopping process can't see the end of.
func TestLostRequestIsNotRepeatedBeyondItsBound(t *testing.T) {
	r := newFixture(t, catalog.KindRepeatable, platformtest.Lose, platformtest.Answer("ok"))
	r.forwarder.ForwardBy = func(time.Time) time.Time {
		if r.runCount() == 0 {
			return time.Time{}
		}
		return time.Now()
	}
	if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeUnknown || r.runCount() != 1 {
		t.Errorf("%+v, ran %d times", result, r.runCount())
	}
}

// TestBegunStreamGoesOnBeyondItsBound guards against a stream that is cut off although its client has a part of it.
func TestBegunStreamGoesOnBeyondItsBound(t *testing.T) {
	r := newFixture(t, catalog.KindStream, platformtest.Stream(2, false), platformtest.Stream(4, true))
	by := time.Now().Add(10 * time.Millisecond)
	r.forwarder.ForwardBy = func(time.Time) time.Time { return by }
	if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered || result.Attempts != 2 {
		t.Errorf("%+v with %q", result, r.sink.body.String())
	}
}
