package forward_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/platform/platformtest"
)

// joinGroup registers the fixture's replicas as ranks of one lock-step group.
func (r *fixture) joinGroup() {
	for i, x := range r.replicas {
		r.forwarder.Fleet.Put(catalog.Replica{
			ID: catalog.ReplicaID(x.ID), Service: "s", Address: x.Address(), Zone: graniteknot.AvailabilityZone(fmt.Sprint("z", i)),
			Group: "g", GroupSize: len(r.replicas),
		}, time.Now())
	}
}

// TestCrashInLockStepGroupBlocksRequest checks that a request that crashes the first rank before
// any part of a response reaches no other rank, in this request or its retry, for a minute. A
// request that crashes the rank after the first event, and all others, are still served.
func TestCrashInLockStepGroupBlocksRequest(t *testing.T) {
	for name, c := range map[string]struct {
		first platformtest.Script
		runs  int
	}{"before any response": {platformtest.Crash, 1}, "after the first event": {platformtest.StreamAndCrash, 3}} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, catalog.KindStream, c.first, platformtest.Stream(2, true), platformtest.Stream(2, true))
			r.joinGroup()
			for _, x := range r.replicas {
				x.Always(platformtest.Stream(2, true))
			}
			r.forwarder.Quarantine = &quarantine.Table{}
			var suspended fakeSuspension
			clock := graniteknot.AgeClock{Suspension: &suspended}
			r.forwarder.Clock, r.forwarder.Fleet.Clock = clock, clock
			r.do(context.Background())
			r.request.ID = "a2"
			result := r.do(context.Background())
			if r.runCount() != c.runs {
				t.Errorf("ran %d times, unexpected result %+v", r.runCount(), result)
			}
			blocked := result.Reason == forward.ReasonQuarantined && result.Outcome == graniteknot.OutcomeNotRun
			if blocked != (c.runs == 1) {
				t.Errorf("unexpected result %+v", result)
			}
			r.request.Body = []byte("another question")
			if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered {
				t.Errorf("another request: %+v", result)
			}
			r.request.Body = []byte("question")
			suspended.Store(int64(time.Minute + time.Second))
			r.request.ReceivedAt = clock.Now()
			request := &forward.RoutedRequest{
				Request: r.request, Route: r.route, Service: &catalog.Service{Name: "s"},
				Account: &catalog.Account{Name: "desk"}, RespondBy: clock.Now().Add(testTimeout),
			}
			if result := r.forwarder.Do(context.Background(), request, r.sink); result.Outcome != graniteknot.OutcomeAnswered {
				t.Errorf("a minute later: %+v", result)
			}
		})
	}
}
