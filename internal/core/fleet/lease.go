package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Verdict is what the outcome of a request shows about its replica.
type Verdict uint8

const (
	// VerdictNone shows nothing, for example when the caller disconnected.
	VerdictNone Verdict = iota
	// VerdictGood is a response.
	VerdictGood
	// VerdictFull is a refusal for lack of capacity.
	VerdictFull
	// VerdictBad is a failure.
	VerdictBad
	// VerdictGone is proof that this life of the replica has ended.
	VerdictGone
)

// Inputs are the values that the choice of a replica was based on.
type Inputs struct {
	// Own and Others count the requests at the replica, those of this process and
	// those of others.
	Own, Others int
	// Capacity is how many requests it may have; 0 if unbounded.
	Capacity int
	// Pass is the duration of its group's passes; 0 if unknown.
	Pass time.Duration
	// Skew is the skew of the replica's group; 0 if unknown.
	Skew float64
	// ReportAge is the age of its report; 0 without one.
	ReportAge time.Duration
	// Waited is how long the request was queued.
	Waited time.Duration
	// Probe reports whether the request probes a replica that failed before.
	Probe bool
	// Permit reports whether the replica is rate-limited and the request holds a
	// permit.
	Permit bool
	// Reserved is how many slots were reserved for more urgent requests.
	Reserved int
}

// Lease is a request's slot at a replica.
type Lease struct {
	// Replica is the record at the time of the choice.
	Replica catalog.Replica

	// Inputs are the values that the choice was based on.
	Inputs Inputs

	table   *Table
	target  *target
	size    catalog.Size
	urgency catalog.Urgency
	account graniteknot.Account
	// use counts the account's requests; nil without coordinated admission.
	use     *accountUse
	sent    time.Time
	started bool
	// late marks a request that was sent too late to be in time.
	late bool
	// engine and maxGap come from the query; engine is nil for a plain service.
	engine *catalog.Engine
	maxGap time.Duration
	probe  bool
	ended  bool
	// permitAt is when the permit was taken; zero without a limit.
	permitAt time.Time
	// silenceProbe marks a request that probes a silent replica.
	silenceProbe bool
	// reroute aborts the attempt so that it is made elsewhere; nil if that isn't
	// allowed.
	reroute func()
	// lastPart is when the last part of the response arrived.
	lastPart time.Time
	// orphanedAt is when the replica's next life became known.
	orphanedAt time.Time
}

// Leaving reports whether the replica is known to end as planned: it said so, or its record is gone. A record that another
// life has taken over shows that it has ended already.
func (l *Lease) Leaving() bool {
	t := l.table
	t.mu.Lock()
	defer t.mu.Unlock()
	x := l.target
	registered := t.targets[x.replica.ID]
	return registered == nil || registered == x && (x.replica.Draining || x.life != nil && x.life.leaving)
}

// OnReroute sets the function that aborts the attempt when the replica falls
// silent.
func (l *Lease) OnReroute(reroute func()) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.reroute = reroute
}

// Reroute aborts the attempt so that it is made elsewhere.
func (l *Lease) Reroute() {
	l.table.mu.Lock()
	reroute := l.reroute
	l.reroute = nil
	l.table.mu.Unlock()
	if reroute != nil {
		reroute()
	}
}

// RecordResponse records that a part of the response arrived.
func (l *Lease) RecordResponse(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.target.lastResponse, l.lastPart = now, now
	if l.target.life != nil {
		l.target.life.unconfirmed = false
	}
	if l.started {
		return
	}
	l.started = true
	took := now.Sub(l.sent)
	l.table.statsOf(l.Replica.Service).firstEvent.observe(took)
	if l.target.latency == 0 {
		l.target.latency = took
		return
	}
	l.target.latency += time.Duration(latencyWeight * float64(took-l.target.latency))
}

// ResponseStarted reports whether a part of the response has arrived.
func (l *Lease) ResponseStarted() bool {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	return l.started
}

// End releases the slot; later calls do nothing.
func (l *Lease) End(v Verdict, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.ended {
		return
	}
	l.ended, l.reroute = true, nil
	defer l.table.serveQueue(l.Replica.Service, now)
	t := l.target
	delete(t.own, l)
	l.use.release()
	if l.probe {
		t.probing = false
	}
	switch v {
	case VerdictGood:
		t.failures = 0
	case VerdictBad:
		t.failures++
		ejection := min(baseEjection<<min(t.failures-1, 6), maxEjection)
		t.ejectedUntil = now.Add(ejection)
	case VerdictGone:
		t.failures = max(t.failures, ejectAfter)
		t.ejectedUntil = now.Add(maxEjection)
	case VerdictNone, VerdictFull:
	}
}
