package quarantine_test

import (
	"testing"
	"time"

	"graniteknot.org/go/internal/core/quarantine"
)

// TestQuarantinedPartIsTriedAgain checks that one request at a time is let through, of the process
// whose turn it is, first after two minutes, later after each further crash, and that its survival
// ends the quarantine.
func TestQuarantinedPartIsTriedAgain(t *testing.T) {
	r := newRecorder()
	mine := true
	r.MayTry = func(quarantine.Key, int64) bool { return mine }
	for range 3 {
		r.crash([]string{"bad"})
	}
	try := func(after time.Duration) bool { return r.Trial(subject("new", "bad"), start.Add(after)) }
	if try(2*time.Minute) || r.Trial(subject("new", "other"), start.Add(time.Hour)) {
		t.Error("tried before it was due, or without need")
	}
	const due = 2*time.Minute + 5*time.Second
	if mine = false; try(due) {
		t.Error("tried by a process whose turn it is not")
	}
	if mine = true; try(due+10*time.Second) || !try(due+40*time.Second) || try(due+41*time.Second) {
		t.Error("not tried once in the next slot")
	}
	r.crash([]string{"bad"})
	if try(7*time.Minute) || !try(9*time.Minute) {
		t.Error("not tried after eight minutes once four replicas crashed")
	}
	r.survive("bad")
	if r.blocks("bad") {
		t.Error("still quarantined after a survival")
	}
	blocked := subject("twice", "one", "two")
	for range 3 {
		r.crash([]string{"one"})
		r.crash([]string{"two"})
	}
	if r.Trial(blocked, start.Add(time.Hour)) {
		t.Error("a request with another quarantined part was let through")
	}
}

// TestReplacedSoftwareIsTried checks that a part is tried at once after TryAgain, and with the usual
// delay if that crashes a replica as well.
func TestReplacedSoftwareIsTried(t *testing.T) {
	r := newRecorder()
	r.MayTry = func(quarantine.Key, int64) bool { return true }
	for range 3 {
		r.crash([]string{"bad"})
	}
	request := subject("new", "bad")
	if r.Trial(request, r.now) {
		t.Error("tried before it was due")
	}
	if r.TryAgain(); !r.Trial(request, r.now) {
		t.Error("not tried")
	}
	r.crash([]string{"bad"})
	if r.Trial(request, r.now.Add(time.Minute)) {
		t.Error("tried again after a crash")
	}
}
