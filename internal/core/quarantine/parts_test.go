package quarantine_test

import (
	"context"
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

func part(hash string) quarantine.Key { return quarantine.KeyOfPart("m", hash, 100) }

// subject is a request with a body of its own and these prompt parts.
func subject(body string, hashes ...string) *quarantine.Subject {
	s := &quarantine.Subject{Request: key(body)}
	for _, hash := range hashes {
		s.Parts = append(s.Parts, part(hash))
	}
	return s
}

// recorder is a table and the time of its last event.
type recorder struct {
	quarantine.Table
	now time.Time
	n   int
}

// newRecorder returns the table of a process that has seen requests served for some time.
func newRecorder() *recorder {
	r := &recorder{now: start}
	r.RecordSurvival(subject("", "warm").Parts, start.Add(-time.Hour))
	return r
}

// crash records that the next replica crashed under requests with these parts, 4 s after the last
// event.
func (r *recorder) crash(requests ...[]string) {
	r.now = r.now.Add(4 * time.Second)
	r.n++
	for i, parts := range requests {
		r.RecordSubjectCrash(subject(string(rune('a'+i))+string(rune('0'+r.n)), parts...), catalog.Mark(r.n), false, r.now)
	}
}

// survive records that a replica outlived a request with these parts.
func (r *recorder) survive(hashes ...string) {
	r.RecordSurvival(subject("", hashes...).Parts, r.now)
}

func (r *recorder) blocks(hashes ...string) bool {
	return r.BlockedKey(subject("new", hashes...), r.now) != nil
}

// TestThirdCrashQuarantinesPart checks that a part that no replica outlives is blocked for all
// requests, and that neither the parts beside it nor those of another model or length are.
func TestThirdCrashQuarantinesPart(t *testing.T) {
	r := newRecorder()
	r.survive("common")
	for i := range 3 {
		if r.blocks("bad") {
			t.Fatalf("blocked after %d crashes", i)
		}
		r.crash([]string{"common", "bad"}, []string{"common", "rare" + string(rune('0'+i))})
		r.survive("common")
	}
	if !r.blocks("common", "bad") || !r.blocks("bad") || r.QuarantinedParts() != 1 {
		t.Error("the part is not blocked after three crashes, or others are")
	}
	if r.blocks("common", "rare0") || r.blocks("other") {
		t.Error("a sound part is blocked")
	}
	for _, other := range []quarantine.Key{quarantine.KeyOfPart("m2", "bad", 100), quarantine.KeyOfPart("m", "bad", 101)} {
		if r.Blocked(other, r.now) {
			t.Error("a part of another model or length is blocked")
		}
	}
}

// TestExplainedCrashesDoNotQuarantine guards against blocking a sound part that was in progress at
// crashes that another part explains, whether it became known before the other one or after it.
func TestExplainedCrashesDoNotQuarantine(t *testing.T) {
	r := newRecorder()
	for range 3 {
		r.crash([]string{"bad"}, []string{"companion"})
		if r.blocks("bad") || r.blocks("companion") {
			t.Error("one of two parts that were in progress at the same crashes is blocked")
		}
	}
	r.crash([]string{"bad"})
	if !r.blocks("bad") || r.blocks("companion") {
		t.Error("a crash without the companion does not tell which part is to blame")
	}
	for range 3 {
		if r.crash([]string{"late"}, []string{"bad"}); r.blocks("late") {
			t.Error("crashes that another part explains count")
		}
	}
	for range 3 {
		r.crash([]string{"late"})
	}
	if !r.blocks("late") || !r.blocks("bad") {
		t.Error("three crashes of its own do not quarantine a part, or excuse another one")
	}
}

// TestBlockedPartStaysBlocked guards against comparing the crashes of a blocked part, which get no
// more, with those of another part that was in progress at them.
func TestBlockedPartStaysBlocked(t *testing.T) {
	r := newRecorder()
	for range 3 {
		r.crash([]string{"bad"}, []string{"companion"})
	}
	r.crash([]string{"bad"})
	for range 5 {
		r.crash([]string{"companion"})
	}
	if !r.blocks("bad") {
		t.Error("crashes of another part excuse a blocked one")
	}
}

// TestInseparablePartsAreBlocked checks that of parts that always come together, requests with all
// of them are blocked after the third crash, and others after the fourth, but for a trial of one
// request soon after.
func TestInseparablePartsAreBlocked(t *testing.T) {
	r := newRecorder()
	r.MayTry = func(quarantine.Key, int64) bool { return true }
	for range 3 {
		r.crash([]string{"bad", "companion"})
	}
	if !r.blocks("bad", "companion") || r.blocks("bad") || r.blocks("companion") {
		t.Error("after three crashes not the requests with both parts are blocked")
	}
	r.crash([]string{"bad", "companion"})
	if !r.blocks("bad", "companion") || !r.blocks("bad") || !r.blocks("companion") {
		t.Error("not blocked after four crashes")
	}
	together := newRecorder()
	together.MayTry = r.MayTry
	for range 4 {
		together.crash([]string{"bad", "companion"})
	}
	if both := subject("both", "bad", "companion"); together.Trial(both, start.Add(7*time.Minute)) || !together.Trial(both, start.Add(9*time.Minute)) {
		t.Error("parts that only come together are not tried after eight minutes")
	}
	r.now = r.now.Add(6 * time.Second)
	if r.Trial(subject("both", "bad", "companion"), r.now) || !r.Trial(subject("one", "companion"), r.now) || r.Trial(subject("two", "companion"), r.now) {
		t.Error("not one request with one of the parts is tried")
	}
	r.survive("companion")
	if !r.blocks("bad") || r.blocks("companion") {
		t.Error("the trial does not tell the parts apart")
	}
}

// TestExplainedCrashesReleaseRequests guards against keeping requests from replicas for crashes that a
// part of others' prompts explains.
func TestExplainedCrashesReleaseRequests(t *testing.T) {
	r := newRecorder()
	sound := key("sound")
	for n := range catalog.Mark(3) {
		r.RecordSubjectCrash(&quarantine.Subject{Request: sound}, n+1, true, r.now)
		if !r.Blocked(sound, r.now) {
			t.Error("a request that was in progress at a crash is not blocked before the part is known")
		}
		r.RecordSubjectCrash(subject(string(rune('a'+n)), "bad"), n+1, true, r.now)
		r.now = r.now.Add(4 * time.Second)
	}
	if !r.blocks("bad") || r.Blocked(sound, r.now) {
		t.Error("the part is not blocked, or the request is")
	}
	r.RecordSubjectCrash(&quarantine.Subject{Request: sound}, 4, true, r.now)
	if !r.Blocked(sound, r.now) {
		t.Error("another crash does not block the request")
	}
}

// TestServedPartNeedsMoreCrashes checks that a part that replicas served is blocked only after
// five crashes and a second, so that survivals at other processes are heard of first, and that it
// never hides one that was never served.
func TestServedPartNeedsMoreCrashes(t *testing.T) {
	r := newRecorder()
	r.survive("common")
	for range 2 {
		r.crash([]string{"common"})
	}
	for range 3 {
		r.crash([]string{"common", "bad"})
	}
	if !r.blocks("bad") || r.blocks("common") {
		t.Error("the part that was never served is not blocked, or the other one is")
	}
	for range 3 {
		if r.blocks("common") {
			t.Error("blocked after less than five crashes of its own")
		}
		r.crash([]string{"common"})
	}
	if r.blocks("common") {
		t.Error("blocked at once")
	}
	r.now = r.now.Add(time.Second)
	if !r.blocks("common") {
		t.Error("not blocked a second after the fifth crash of its own")
	}
	r.survive("common")
	if r.blocks("common") || !r.blocks("bad") {
		t.Error("a survival does not clear the part, or clears another one")
	}
}

// TestPartCancelsWaiters checks that requests that wait are canceled when a part of their prompts
// is quarantined that was unknown as they began to wait.
func TestPartCancelsWaiters(t *testing.T) {
	r := newRecorder()
	waiting, done := r.CancelOnBlock(context.Background(), subject("w", "common", "bad"), r.now)
	defer done()
	other, doneOther := r.CancelOnBlock(context.Background(), subject("o", "common"), r.now)
	defer doneOther()
	for i := range 3 {
		if waiting.Err() != nil {
			t.Errorf("canceled after %d crashes", i)
		}
		r.crash([]string{"bad"})
	}
	if waiting.Err() == nil || other.Err() != nil {
		t.Error("the wait was not canceled, or another request's was")
	}
}

// TestServedPartCancelsWaiters checks that waits are also canceled for a part that is blocked some
// time after its last crash.
func TestServedPartCancelsWaiters(t *testing.T) {
	r := newRecorder()
	r.survive("bad")
	waiting, done := r.CancelOnBlock(context.Background(), subject("w", "bad"), r.now)
	defer done()
	for range 5 {
		r.crash([]string{"bad"})
	}
	if r.Maintain(r.now.Add(time.Second / 2)); waiting.Err() != nil {
		t.Error("canceled before the part is blocked")
	}
	if r.Maintain(r.now.Add(time.Second)); waiting.Err() == nil {
		t.Error("not canceled")
	}
}
