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

// Inputs are what a replica was chosen on.
type Inputs struct {
	// Own and Others are the requests at the replica, this process's and others'.
	Own, Others int
	// Capacity is how many it may have; 0 is no bound.
	Capacity int
	// Pass is how long its group's passes take; 0 is unknown.
	Pass time.Duration
	// Skew is that of the replica's group; 0 is unknown.
	Skew float64
	// ReportAge is how old its report is; 0 without one.
	ReportAge time.Duration
	// Waited is how long the request waited for room.
	Waited time.Duration
	// Probe tells that the replica had failed before.
	Probe bool
	// Permit tells that the replica takes only so many requests, and this one had a permit.
	Permit bool
}

// Lease is one request's place at a replica.
type Lease struct {
	// Replica is the record as it was when the place was taken.
	Replica catalog.Replica

	// Inputs are what the choice was made on.
	Inputs Inputs

	table  *Table
	target *target
	size   catalog.Size
	sent   time.Time
	begun  bool
	// engine and gap are what the query named; nil for a plain service.
	engine *catalog.Engine
	gap    time.Duration
	trial  bool
	ended  bool
	// permit is when the replica's permit was taken; zero without a limit.
	permit time.Time
	// risked requests find out whether a silent replica works.
	risked bool
	// move breaks the attempt off, so that it is made elsewhere; nil where that
	// may not be.
	move func()
}

// OnReroute gives what breaks the attempt off when the replica falls silent.
func (l *Lease) OnReroute(move func()) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.move = move
}

// Reroute breaks the attempt off.
func (l *Lease) Reroute() {
	l.table.mu.Lock()
	move := l.move
	l.move = nil
	l.table.mu.Unlock()
	if move != nil {
		move()
	}
}

// RecordResponse notes a part of the answer.
func (l *Lease) RecordResponse(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.target.heard = now
	if l.target.word != nil {
		l.target.word.unproved = false
	}
	if l.begun {
		return
	}
	l.begun = true
	took := now.Sub(l.sent)
	l.table.intake(l.Replica.Service).first.note(took)
	if l.target.latency == 0 {
		l.target.latency = took
		return
	}
	l.target.latency += time.Duration(smoothing * float64(took-l.target.latency))
}

// ResponseStarted tells whether a part of the answer was noted.
func (l *Lease) ResponseStarted() bool {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	return l.begun
}

// End gives the place back; later calls do nothing.
func (l *Lease) End(v Verdict, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.ended {
		return
	}
	l.ended, l.move = true, nil
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
