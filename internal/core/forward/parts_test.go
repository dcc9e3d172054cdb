package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/platform/platformtest"
)

var (
	commonPart = forward.PromptPart{ID: "c0", Tokens: 40}
	badPart    = forward.PromptPart{ID: "bad", Tokens: 300}
)

func keyOfPart(p forward.PromptPart) quarantine.Key {
	return quarantine.KeyOfPart("m", p.ID, p.Tokens)
}

// withParts is a fixture whose requests have a common part and the bad one.
func withParts(t *testing.T, kind catalog.RouteKind, scripts ...platformtest.Script) *fixture {
	t.Helper()
	r := newFixture(t, kind, scripts...)
	r.forwarder.Quarantine = &quarantine.Table{}
	// The process has seen other requests served for some time.
	r.forwarder.Quarantine.RecordSurvival([]quarantine.Key{{}}, time.Now().Add(-time.Hour))
	r.request.Model, r.request.PromptParts = "m", []forward.PromptPart{commonPart, badPart}
	return r
}

// crashes records crashes of other replicas under the bad part.
func (r *fixture) crashes(marks ...catalog.Mark) {
	for _, mark := range marks {
		r.forwarder.Quarantine.Merge(&quarantine.Entry{Key: keyOfPart(badPart), Part: true, CrashedReplicas: []catalog.Mark{mark}}, time.Now())
	}
}

func (r *fixture) blocks(p forward.PromptPart) bool {
	return r.forwarder.Quarantine.Blocked(keyOfPart(p), time.Now())
}

// TestQuarantinedPartIsRefusedAtOnce checks that no replica gets a request with a quarantined part,
// that the result names the part, and that a request without it is served.
func TestQuarantinedPartIsRefusedAtOnce(t *testing.T) {
	r := withParts(t, catalog.KindStream, platformtest.Stream(2, true))
	r.crashes(1, 2, 3)
	result := r.do(context.Background())
	if result.Reason != forward.ReasonQuarantined || result.Outcome != graniteknot.OutcomeNotRun || result.BlockedPart != badPart.String() || r.runCount() != 0 {
		t.Errorf("ran %d times, %+v", r.runCount(), result)
	}
	r.request.PromptParts = []forward.PromptPart{commonPart}
	if result := r.do(context.Background()); result.Outcome != graniteknot.OutcomeAnswered {
		t.Errorf("without the part: %+v", result)
	}
}

// TestCrashesCountForEachPart checks that requests that differ in everything else quarantine the
// part that they share, while a part that other replicas serve stays free.
func TestCrashesCountForEachPart(t *testing.T) {
	r := withParts(t, catalog.KindStream, platformtest.Crash, platformtest.Crash, platformtest.Crash)
	r.route.Attempts = 1
	for i := range 3 {
		for n := r.runCount(); r.runCount() == n; {
			r.request.ID, r.request.Body = graniteknot.RequestID(fmt.Sprint("a", i)), []byte{byte(i)}
			r.do(context.Background())
		}
	}
	r.forwarder.Stop()
	q, both := r.forwarder.Quarantine, &quarantine.Subject{Parts: []quarantine.Key{keyOfPart(commonPart), keyOfPart(badPart)}}
	if q.BlockedKey(both, time.Now()) == nil || r.blocks(badPart) || r.blocks(commonPart) {
		t.Errorf("after three crashes not the requests with both parts are blocked: %+v", q.Entries(time.Now()))
	}
	q.RecordSurvival([]quarantine.Key{keyOfPart(commonPart)}, time.Now())
	if !r.blocks(badPart) || r.blocks(commonPart) {
		t.Error("a survival does not tell the parts apart")
	}
}

// TestWhichResponsesClearParts guards against clearing a part by a response that does not show that
// the replica outlived the request: a failure, or one that only the end of the connection ends.
func TestWhichResponsesClearParts(t *testing.T) {
	cases := map[string]struct {
		kind   catalog.RouteKind
		script platformtest.Script
		clears bool
	}{
		"stream":              {catalog.KindStream, platformtest.Stream(2, true), true},
		"answer":              {catalog.KindRepeatable, platformtest.Answer("whole"), true},
		"failure":             {catalog.KindRepeatable, platformtest.Fail(http.StatusInternalServerError), false},
		"unframed stream":     {catalog.KindStream, platformtest.UnframedStream(2), false},
		"not run":             {catalog.KindStream, platformtest.NotRun(http.StatusServiceUnavailable), false},
		"broken off at once":  {catalog.KindStream, platformtest.Stream(1, false), false},
		"broken off later on": {catalog.KindStream, platformtest.StreamAndStall(600 * time.Millisecond), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := withParts(t, c.kind, c.script)
			r.route.Attempts = 1
			r.crashes(1, 2)
			r.do(context.Background())
			r.forwarder.Stop()
			r.crashes(3)
			if r.blocks(badPart) == c.clears {
				t.Errorf("blocked: %v", r.blocks(badPart))
			}
		})
	}
}

// TestFailureDoesNotReleaseRequest guards against releasing a request that crashes replicas because
// one of them failed it before it began.
func TestFailureDoesNotReleaseRequest(t *testing.T) {
	r := newFixture(t, catalog.KindRepeatable, platformtest.Fail(http.StatusInternalServerError))
	table := &quarantine.Table{}
	r.forwarder.Quarantine = table
	r.route.Attempts = 1
	key := quarantine.KeyOf("/p/x", "desk", []byte("question"))
	table.RecordCrash(key, 1, time.Now())
	r.do(context.Background())
	table.RecordCrash(key, 2, time.Now())
	if !table.Quarantined(key) {
		t.Error("a failed request is released")
	}
}

// TestTrialOfQuarantinedPart checks that a request that is let through makes one attempt only, and
// that its response ends the quarantine.
func TestTrialOfQuarantinedPart(t *testing.T) {
	for _, sound := range []bool{false, true} {
		second := platformtest.Crash
		if sound {
			second = platformtest.Stream(2, true)
		}
		r := withParts(t, catalog.KindStream, second, second)
		q := r.forwarder.Quarantine
		q.MayTry = func(quarantine.Key, int64) bool { return true }
		e := quarantine.Entry{Key: keyOfPart(badPart), Part: true, CrashedReplicas: []catalog.Mark{1, 2, 3}, AgeMillis: (3 * time.Minute).Milliseconds()}
		q.Merge(&e, time.Now())
		first := r.do(context.Background())
		r.request.ID, r.request.Body = "a2", []byte("another question")
		result := r.do(context.Background())
		if sound != (first.Outcome == graniteknot.OutcomeAnswered) || sound != (result.Outcome == graniteknot.OutcomeAnswered) {
			t.Errorf("sound %v: %+v, then %+v", sound, first, result)
		}
		if runs := r.runCount(); !sound && runs != 1 {
			t.Errorf("ran %d times", runs)
		}
	}
}
