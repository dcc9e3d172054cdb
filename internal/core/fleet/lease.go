package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
)

// Verdict is what a request's end says of its replica.
type Verdict uint8

// The verdicts.
const (
	// VerdictNone says nothing, such as a caller that left.
	VerdictNone Verdict = iota
	// VerdictGood is an answer.
	VerdictGood
	// VerdictFull is a refusal for want of room.
	VerdictFull
	// VerdictBad is a failure.
	VerdictBad
	// VerdictGone is proof that this life of the replica has ended.
	VerdictGone
)

// Lease is one request's place at a replica.
type Lease struct {
	// Replica is the record as it was when the place was taken.
	Replica catalog.Replica

	table  *Table
	target *target
	size   catalog.Size
	sent   time.Time
	begun  bool
	trial  bool
	ended  bool
}

// Begun notes the first byte of the answer.
func (l *Lease) Begun(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.begun {
		return
	}
	l.begun = true
	took := now.Sub(l.sent)
	if l.target.latency == 0 {
		l.target.latency = took
		return
	}
	l.target.latency += time.Duration(smoothing * float64(took-l.target.latency))
}

// End gives the place back; later calls do nothing.
func (l *Lease) End(v Verdict, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	defer l.table.serve(l.Replica.Service, now)
	t := l.target
	delete(t.own, l)
	if l.trial {
		t.trial = false
	}
	switch v {
	case VerdictGood:
		t.failures = 0
	case VerdictBad:
		t.failures++
		pause := min(firstPause<<min(t.failures-1, 6), longestPause)
		t.until = now.Add(pause)
	case VerdictGone:
		t.failures = max(t.failures, patience)
		t.until = now.Add(longestPause)
	case VerdictNone, VerdictFull:
	}
}
