package forward_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/platform/platformtest"
)

func TestAnswerPassesUnchanged(t *testing.T) {
	r := newRig(t, catalog.KindOnce, platformtest.Answer("whole"))
	result := r.do(context.Background())
	if result.Outcome != graniteknot.OutcomeAnswered || r.sink.status != http.StatusOK || r.sink.body.String() != "whole" {
		t.Fatalf("%+v, %d %q", result, r.sink.status, r.sink.body.String())
	}
	got := r.replicas[0].Ran()[0]
	if got.RequestURI != "/p/x?q=1" || got.Host != "h" || got.Header.Get("X-Own") != "v" {
		t.Errorf("the replica got %s %s %v", got.Host, got.RequestURI, got.Header)
	}
}

// TestAtMostOnce runs every way in which a request that may not be repeated can
// fail: it never runs twice, and "not run" is only said of one that did not run.
func TestAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		first   platformtest.Script
		outcome graniteknot.Outcome
		runs    int
	}{
		"answer lost":       {platformtest.Lose, graniteknot.OutcomeUnknown, 1},
		"refused":           {platformtest.NotRun(http.StatusServiceUnavailable), graniteknot.OutcomeAnswered, 1},
		"another life":      {platformtest.NotRun(http.StatusMisdirectedRequest), graniteknot.OutcomeAnswered, 1},
		"failed":            {platformtest.Fail(http.StatusInternalServerError), graniteknot.OutcomeAnswered, 1},
		"claims not to run": {platformtest.Fail(http.StatusServiceUnavailable), graniteknot.OutcomeUnknown, 1},
		"cut answer": {func(x *platformtest.Exchange) {
			x.Run()
			x.Head(http.StatusOK, 100, platformtest.Seal)
			x.Write("half")
			x.Reset()
		}, graniteknot.OutcomeUnknown, 1},
		"reset without a length": {func(x *platformtest.Exchange) {
			x.Run()
			x.Head(http.StatusOK, -1, platformtest.Seal, "Connection: close")
			x.Write("half")
			x.Reset()
		}, graniteknot.OutcomeUnknown, 1},
		"no answer at all": {func(x *platformtest.Exchange) {
			x.Run()
			x.Write("SPOILED")
			x.Close()
		}, graniteknot.OutcomeUnknown, 1},
		"no seal": {func(x *platformtest.Exchange) {
			x.Run()
			x.Head(http.StatusOK, 2)
			x.Write("no")
		}, graniteknot.OutcomeUnknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, catalog.KindOnce, c.first, platformtest.Answer("second"))
			result := r.do(context.Background())
			if result.Outcome != c.outcome || r.ran() != c.runs {
				t.Errorf("outcome %v, want %v; ran %d times; %+v", result.Outcome, c.outcome, r.ran(), result)
			}
		})
	}
}

func TestRepeatableIsTriedElsewhere(t *testing.T) {
	for name, first := range map[string]platformtest.Script{
		"lost": platformtest.Lose, "failed": platformtest.Fail(http.StatusInternalServerError),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, catalog.KindRepeatable, first, platformtest.Answer("second"))
			result := r.do(context.Background())
			if result.Outcome != graniteknot.OutcomeAnswered || r.sink.body.String() != "second" {
				t.Errorf("%+v %q", result, r.sink.body.String())
			}
		})
	}
}

// TestOwnFailureIsGiven gives a replica's failure when nothing better comes.
func TestOwnFailureIsGiven(t *testing.T) {
	r := newRig(t, catalog.KindRepeatable, platformtest.Fail(http.StatusInternalServerError), platformtest.Lose)
	result := r.do(context.Background())
	if result.Outcome != graniteknot.OutcomeAnswered || r.sink.status != http.StatusInternalServerError {
		t.Errorf("%+v, status %d", result, r.sink.status)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	r := newRig(t, catalog.KindRepeatable, platformtest.Lose, platformtest.Answer("second"))
	r.forward.RetryBudgets = &forward.RetryBudgets{}
	if result := r.do(context.Background()); result.Reason != forward.ReasonRetryBudget || r.ran() != 1 {
		t.Errorf("%+v, ran %d times", result, r.ran())
	}
}

func TestSurplusAnswerIsSkipped(t *testing.T) {
	r := newRig(t, catalog.KindOnce, platformtest.Surplus("mine"))
	if result := r.do(context.Background()); r.sink.body.String() != "mine" {
		t.Errorf("%+v %q", result, r.sink.body.String())
	}
}

func TestStreamResumesAtTheNextEvent(t *testing.T) {
	r := newRig(t, catalog.KindStream, platformtest.Stream(3, false), platformtest.Stream(6, true))
	result := r.do(context.Background())
	want := ""
	for i := 1; i <= 6; i++ {
		want += platformtest.Event(i, "token")
	}
	if result.Outcome != graniteknot.OutcomeAnswered || r.sink.body.String() != want {
		t.Errorf("%+v\n%q", result, r.sink.body.String())
	}
}

func TestStreamThatMayNotResumeIsBrokenOff(t *testing.T) {
	r := newRig(t, catalog.KindStream, platformtest.Stream(3, false), platformtest.Stream(6, true))
	r.route.Resumable = false
	result := r.do(context.Background())
	if result.Outcome != graniteknot.OutcomeUnknown || !result.ResponseStarted || r.ran() != 1 {
		t.Errorf("%+v, ran %d times", result, r.ran())
	}
}

// TestStaleConfiguration refuses at the first try and at a later one.
func TestStaleConfiguration(t *testing.T) {
	r := newRig(t, catalog.KindRepeatable, platformtest.Lose, platformtest.Answer("second"))
	r.forward.ConfigFresh = func() bool { return r.ran() == 0 }
	result := r.do(context.Background())
	if result.Reason != forward.ReasonStaleConfig || result.Outcome != graniteknot.OutcomeUnknown || r.ran() != 1 {
		t.Errorf("%+v, ran %d times", result, r.ran())
	}
	r.forward.ConfigFresh = func() bool { return false }
	if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeNotRun || r.ran() != 1 {
		t.Errorf("%+v, ran %d times", result, r.ran())
	}
}

func TestCallerGoneCancelsTheRun(t *testing.T) {
	arrived := make(chan struct{})
	ended := make(chan struct{})
	r := newRig(t, catalog.KindRepeatable, func(x *platformtest.Exchange) {
		x.Run()
		close(arrived)
		x.WaitClosed()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan forward.Result, 1)
	var callers sync.WaitGroup
	callers.Go(func() { results <- r.do(ctx) })
	<-arrived
	cancel()
	if result := <-results; result.Reason != forward.ReasonClientGone {
		t.Errorf("%+v", result)
	}
	<-ended
}

func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, catalog.KindOnce, func(x *platformtest.Exchange) {
		x.Run()
		x.WaitClosed()
	})
	job := &forward.RoutedRequest{Request: r.request, Route: r.route, Service: &catalog.Service{Name: "s"}, RespondBy: time.Now().Add(50 * time.Millisecond)}
	result := r.forward.Do(context.Background(), job, r.sink)
	if result.Reason != forward.ReasonTimeout || result.Outcome != graniteknot.OutcomeUnknown {
		t.Errorf("%+v", result)
	}
}

// TestConnectionIsReused keeps a connection for the next request, unless bytes
// are left on it.
func TestConnectionIsReused(t *testing.T) {
	r := newRig(t, catalog.KindOnce, platformtest.Answer("one"))
	for range 3 {
		r.do(context.Background())
	}
	if n := r.replicas[0].Opened(); n != 1 {
		t.Errorf("%d connections opened for three requests", n)
	}
	extra := newRig(t, catalog.KindOnce, func(x *platformtest.Exchange) {
		x.Run()
		x.Head(http.StatusOK, 2, platformtest.Seal)
		x.Write("ok" + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
	})
	extra.do(context.Background())
	extra.sink.body.Reset()
	result := extra.do(context.Background())
	if result.Outcome != graniteknot.OutcomeAnswered || extra.sink.body.String() != "ok" {
		t.Errorf("%+v %q", result, extra.sink.body.String())
	}
}

func TestConnectionLimit(t *testing.T) {
	arrived := make(chan struct{})
	r := newRig(t, catalog.KindOnce, func(x *platformtest.Exchange) {
		x.Run()
		close(arrived)
		x.WaitClosed()
	})
	r.forward.ConnLimit = func(*catalog.Service) int { return 1 }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := make(chan forward.Result, 1)
	var callers sync.WaitGroup
	callers.Go(func() { first <- r.do(ctx) })
	<-arrived
	other := &sink{}
	job := &forward.RoutedRequest{Request: r.request, Route: r.route, Service: &catalog.Service{Name: "s"}, RespondBy: time.Now().Add(long)}
	if result := r.forward.Do(context.Background(), job, other); result.Outcome != graniteknot.OutcomeNotRun || result.Reason != forward.ReasonBusy {
		t.Errorf("%+v", result)
	}
	cancel()
	<-first
}

// TestStreamMovesFromASilentReplica makes an attempt elsewhere whose replica is
// cut off, at the next event; without another attempt left it stays.
func TestStreamMovesFromASilentReplica(t *testing.T) {
	for _, attempts := range []int{2, 1} {
		stuck := make(chan struct{})
		silent := func(x *platformtest.Exchange) {
			x.Run()
			x.Head(http.StatusOK, -1, platformtest.Seal, "Content-Type: text/event-stream")
			x.Write(platformtest.Event(1, "token"))
			close(stuck)
			x.WaitClosed()
		}
		r := newRig(t, catalog.KindStream, silent, platformtest.Stream(3, true))
		r.route.Attempts = attempts
		now := time.Now()
		for _, replica := range r.replicas {
			r.forward.Fleet.Report(replica.Address(), fleet.Load{Taken: now})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		all.Go(func() {
			<-stuck
			later := time.Now().Add(time.Minute)
			r.forward.Fleet.Report(r.replicas[1].Address(), fleet.Load{Taken: later})
			if _, found := r.forward.Fleet.Sweep(later); len(found) == 1 {
				found[0].Reroute()
				return
			}
			cancel()
		})
		result := r.do(ctx)
		all.Wait()
		cancel()
		if moved := result.Outcome == graniteknot.OutcomeAnswered; moved != (attempts == 2) || r.ran() != attempts {
			t.Errorf("%d attempts: %+v, %d runs", attempts, result, r.ran())
		}
	}
}
