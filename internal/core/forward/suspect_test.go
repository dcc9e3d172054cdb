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

// grouped registers the rig's replicas as ranks of one lock-step group.
func (r *rig) grouped() {
	for i, x := range r.replicas {
		r.forward.Fleet.Put(catalog.Replica{
			ID: catalog.ReplicaID(x.ID), Service: "s", Address: x.Address(), Zone: graniteknot.AvailabilityZone(fmt.Sprint("z", i)),
			Group: "g", GroupSize: len(r.replicas),
		}, time.Now())
	}
}

// TestOneEndInALockStepGroup has a request end the rank that begins it: it reaches no other,
// in this try or the next, until a minute has passed. Requests that had been answered
// something there, and all others, go on.
func TestOneEndInALockStepGroup(t *testing.T) {
	for name, c := range map[string]struct {
		first platformtest.Script
		ran   int
	}{"before any answer": {platformtest.Crash, 1}, "after the first event": {platformtest.StreamAndCrash, 3}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, catalog.KindStream, c.first, platformtest.Stream(2, true), platformtest.Stream(2, true))
			r.grouped()
			for _, x := range r.replicas {
				x.Always(platformtest.Stream(2, true))
			}
			r.forward.Quarantine = &quarantine.Table{}
			var away suspension
			clock := graniteknot.AgeClock{Suspension: &away}
			r.forward.Clock, r.forward.Fleet.Clock = clock, clock
			r.do(context.Background())
			r.request.ID = "a2"
			result := r.do(context.Background())
			if r.ran() != c.ran {
				t.Errorf("ran %d times, %+v", r.ran(), result)
			}
			kept := result.Reason == forward.ReasonQuarantined && result.Outcome == graniteknot.OutcomeNotRun
			if kept != (c.ran == 1) {
				t.Errorf("%+v", result)
			}
			r.request.Body = []byte("another question")
			if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered {
				t.Errorf("another request: %+v", result)
			}
			r.request.Body = []byte("question")
			away.Store(int64(time.Minute + time.Second))
			r.request.ReceivedAt = clock.Now()
			job := &forward.RoutedRequest{
				Request: r.request, Route: r.route, Service: &catalog.Service{Name: "s"},
				Account: &catalog.Account{Name: "desk"}, RespondBy: clock.Now().Add(long),
			}
			if result := r.forward.Do(context.Background(), job, r.sink); result.Outcome != graniteknot.OutcomeAnswered {
				t.Errorf("a minute later: %+v", result)
			}
		})
	}
}
