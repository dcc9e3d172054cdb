package forward_test

import (
	"context"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/platform/platformtest"
)

// TestSecondCrashStopsAttempts checks that a request with many attempts crashes at most two
// replicas, on each kind of route that repeats requests, and is refused when it is retried.
func TestSecondCrashStopsAttempts(t *testing.T) {
	for _, kind := range []catalog.RouteKind{catalog.KindRepeatable, catalog.KindStream} {
		r := newFixture(t, kind, platformtest.Crash, platformtest.Crash, platformtest.Crash, platformtest.Crash)
		r.forwarder.Quarantine = &quarantine.Table{}
		r.route.Attempts = 4
		result := r.do(context.Background())
		if r.runCount() != 2 || result.Reason != forward.ReasonQuarantined || result.Outcome != graniteknot.OutcomeUnknown {
			t.Errorf("%v: ran %d times, %+v", kind, r.runCount(), result)
		}
		result = r.do(context.Background())
		if r.runCount() != 2 || result.Reason != forward.ReasonQuarantined || result.Outcome != graniteknot.OutcomeNotRun || result.Attempts != 0 {
			t.Errorf("%v, again: ran %d times, %+v", kind, r.runCount(), result)
		}
	}
}

// TestLostResponsesDoNotQuarantine checks that broken connections do not count as crashes: the
// request is retried until a replica answers.
func TestLostResponsesDoNotQuarantine(t *testing.T) {
	r := newFixture(t, catalog.KindRepeatable, platformtest.Lose, platformtest.Lose, platformtest.Lose, platformtest.Answer("fourth"))
	r.forwarder.Quarantine = &quarantine.Table{}
	r.route.Attempts = 4
	if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered || r.runCount() < 2 {
		t.Errorf("ran %d times, unexpected result %+v", r.runCount(), result)
	}
	if !r.forwarder.Quarantine.Empty() {
		t.Error("lost responses were counted as crashes")
	}
}

// TestResponseAfterCrashReleases checks that a request whose first replica crashed for another
// reason is served, and is not quarantined when more replicas crash.
func TestResponseAfterCrashReleases(t *testing.T) {
	r := newFixture(t, catalog.KindRepeatable, platformtest.Crash, platformtest.Answer("second"))
	table := &quarantine.Table{}
	r.forwarder.Quarantine = table
	if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered {
		t.Fatalf("unexpected result %+v", result)
	}
	key := quarantine.KeyOf("/p/x", "desk", []byte("question"))
	table.RecordCrash(key, 77, time.Now())
	table.RecordCrash(key, 78, time.Now())
	if table.Quarantined(key) {
		t.Error("an answered request is quarantined")
	}
}

// TestQuarantineEndsQueueWait checks that a queued request is refused at once when the second
// crash is recorded.
func TestQuarantineEndsQueueWait(t *testing.T) {
	r := newFixture(t, catalog.KindRepeatable, platformtest.Answer("first"))
	table := &quarantine.Table{}
	r.forwarder.Quarantine = table
	key := quarantine.KeyOf("/p/x", "desk", []byte("question"))
	table.RecordCrash(key, 1, time.Now())
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 1, Stride: 1}}
	// The report keeps the group closed for the whole test.
	r.forwarder.Fleet.Report(r.replicas[0].Address(), fleet.Load{GroupDown: true, Taken: time.Now().Add(time.Hour)})
	r.route.Aim = testTimeout
	request := &forward.RoutedRequest{
		Request: r.request, Route: r.route, Service: service, Account: &catalog.Account{Name: "desk"}, RespondBy: time.Now().Add(testTimeout),
	}
	var background group.Group
	background.Go(func(ctx context.Context) {
		for r.forwarder.Fleet.Queued(service) == 0 && ctx.Err() == nil {
			delay.For(ctx, time.Millisecond)
		}
		table.RecordCrash(key, 2, time.Now())
	})
	defer background.Stop()
	if result := r.forwarder.Do(context.Background(), request, r.sink); result.Reason != forward.ReasonQuarantined || r.runCount() != 0 {
		t.Errorf("ran %d times, unexpected result %+v", r.runCount(), result)
	}
}

// TestResponsesBeforeCrashPreventQuarantine guards against quarantining a request that many
// clients send, because another request crashes two replicas that work on both. Only responses
// after a crash used to release a request, so that gateways refused the frequent request for
// half a minute, although it had been answered many times. Replicas in plain services and in
// lock-step groups, and a second process that merges the entries, must all serve it.
func TestResponsesBeforeCrashPreventQuarantine(t *testing.T) {
	// In a plain service, it is random whether one request reaches both crashing replicas.
	for i := range 20 {
		grouped := i%2 == 0
		r := newFixture(t, catalog.KindRepeatable, platformtest.Answer("one"), platformtest.Crash, platformtest.Answer("three"))
		if grouped {
			r.joinGroup()
		}
		other := &quarantine.Table{}
		r.forwarder.Quarantine = &quarantine.Table{OnChange: func(changed []quarantine.Entry) {
			for i := range changed {
				other.Merge(&changed[i], time.Now())
			}
		}}
		for range 3 {
			if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered {
				t.Fatalf("unexpected result %+v", result)
			}
		}
		for _, x := range r.replicas[:2] {
			x.Always(platformtest.Crash)
		}
		var last forward.Result
		for range 4 {
			last = r.do(context.Background())
		}
		if last.Outcome != graniteknot.OutcomeAnswered {
			t.Errorf("grouped %v: %+v", grouped, last)
		}
		key := quarantine.KeyOf("/p/x", "desk", []byte("question"))
		if other.Blocked(key, time.Now()) || other.Quarantined(key) {
			t.Errorf("grouped %v: the other process blocks it", grouped)
		}
	}
}
