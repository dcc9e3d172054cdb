package claim

import (
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// The values in force where a Table's fields are zero.
const (
	DefaultWindow       = 10 * time.Minute
	DefaultMaxKeyAhead  = 2 * time.Second
	DefaultMaxClockSkew = time.Second
	DefaultMaxRecords   = 200_000
)

// tombstoneReserve is the part of the limit, as a divisor, that is kept free
// for tombstones, so that a full table can still refuse truthfully.
const tombstoneReserve = 4

type phase uint8

const (
	phaseQueued phase = iota
	phaseRunning
	phaseAnswered
	phaseBroken
	phaseTombstone
)

// record is what is remembered of one request.
type record struct {
	phase phase
	// try is the caller's count that a tombstone covers.
	try uint32
	// forget is when the record may go, in milliseconds since the epoch. A
	// queued or running record stays whatever it says.
	forget int64
	// body is the digest that the key stands for.
	body uint64
}

// Table is one authority's memory. The zero value works, as a life that began
// at the epoch. Table is safe for use by several goroutines.
type Table struct {
	// Incarnation is this life; its time is the birth.
	Incarnation graniteknot.Incarnation
	// Window is how long a key is remembered after it was first seen.
	Window time.Duration
	// MaxKeyAhead bounds how far a key's time may lie ahead of this clock.
	MaxKeyAhead time.Duration
	// MaxClockSkew bounds how far the clocks of two boxes differ.
	MaxClockSkew time.Duration
	// MaxRecords bounds the records; a quarter more may be tombstones.
	MaxRecords int

	mu sync.Mutex
	// records never holds more than MaxRecords and a quarter.
	records map[ID]record
	// wheel holds the ids to look at again, by the time slot of their forget.
	wheel wheel
	stats Stats
}

// Admit asks for a request to be queued. After VerdictStart the asker calls
// Start, and then Finish; or Withdraw.
func (t *Table) Admit(now time.Time, r Request) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	v := t.admit(now, r)
	t.stats.count(v)
	return v
}

func (t *Table) admit(now time.Time, r Request) Verdict {
	old, seen := t.records[r.ID]
	if seen && old.body != r.BodyDigest {
		return VerdictMismatch
	}
	later := old.phase == phaseTombstone && r.Try > old.try
	if seen && !later {
		return old.verdict()
	}
	if v := t.rules(now, r); v != VerdictStart {
		return v
	}
	if !seen && len(t.records) >= t.limit() {
		t.stats.Full++
		return t.bury(now, r)
	}
	t.put(now, r, record{phase: phaseQueued, try: r.Try, body: r.BodyDigest})
	return VerdictStart
}

// rules decides on a request of which nothing is remembered.
func (t *Table) rules(now time.Time, r Request) Verdict {
	if !r.Deadline.IsZero() && now.After(r.Deadline.Add(t.skew())) {
		return VerdictMaybe
	}
	if r.Incarnation != 0 && r.Incarnation != t.Incarnation {
		return VerdictMaybe
	}
	if r.Repeatable {
		return VerdictStart
	}
	if r.KeyTime.IsZero() {
		return t.untimed(now, r)
	}
	if r.KeyTime.After(now.Add(t.future())) {
		// Not even a tombstone would do: the next life, which knows nothing of
		// it, would take the key.
		return VerdictMaybe
	}
	if r.KeyTime.Before(now.Add(-t.window())) {
		return VerdictMaybe
	}
	if r.Incarnation == 0 && !r.KeyTime.After(t.birth().Add(t.future()+t.skew())) {
		return VerdictMaybe
	}
	return VerdictStart
}

// untimed decides on a key that carries no time: a former life may have run
// it until the window after this one's birth is over.
func (t *Table) untimed(now time.Time, r Request) Verdict {
	if r.Incarnation == 0 && now.Before(t.birth().Add(t.window())) {
		return VerdictMaybe
	}
	return VerdictStart
}

// Start turns a queued request into a running one. It returns false when the
// request was withdrawn meanwhile, or replaced by a later try; then it must
// not be started.
func (t *Table) Start(id ID, try uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok || r.phase != phaseQueued || r.try != try {
		return false
	}
	r.phase = phaseRunning
	t.records[id] = r
	return true
}

// Finish notes how a started request ended. OutcomeNotRun is only given when
// the target provably never got it.
func (t *Table) Finish(id ID, o graniteknot.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok || r.phase != phaseRunning {
		return
	}
	r.phase = finishPhase(o)
	t.records[id] = r
}

func finishPhase(o graniteknot.Outcome) phase {
	switch o {
	case graniteknot.OutcomeAnswered:
		return phaseAnswered
	case graniteknot.OutcomeNotRun:
		return phaseTombstone
	case graniteknot.OutcomeUnknown:
		return phaseBroken
	}
	return phaseBroken
}

// Withdraw makes sure that a request never starts here, where that is still
// possible: VerdictNever. VerdictJoin means that it is running.
func (t *Table) Withdraw(now time.Time, r Request) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	old, seen := t.records[r.ID]
	if seen && old.phase != phaseQueued && old.phase != phaseTombstone {
		return old.verdict()
	}
	if seen && old.try > r.Try {
		return VerdictMaybe
	}
	// To say that it never ran takes the strict rules, whatever may be repeated.
	strict := r
	strict.Repeatable = false
	if !seen && t.rules(now, strict) == VerdictMaybe {
		return VerdictMaybe
	}
	return t.bury(now, r)
}

// bury leaves a tombstone, or promises nothing where there is no room.
func (t *Table) bury(now time.Time, r Request) Verdict {
	old, seen := t.records[r.ID]
	if !seen && len(t.records) >= t.limit()+t.limit()/tombstoneReserve {
		return VerdictMaybe
	}
	t.put(now, r, record{phase: phaseTombstone, try: max(old.try, r.Try), body: r.BodyDigest})
	return VerdictNever
}

func (t *Table) put(now time.Time, r Request, rec record) {
	if t.records == nil {
		t.records = map[ID]record{}
	}
	forget := t.forgetTime(now, r)
	rec.forget = forget.UnixMilli()
	t.records[r.ID] = rec
	t.wheel.add(forget, r.ID)
}

// forgetTime is when no message about the request can be taken any more: for
// a timed key once the rule of age refuses it, for others after the window
// and the deadline.
func (t *Table) forgetTime(now time.Time, r Request) time.Time {
	if r.Repeatable {
		return latest(now, r.Deadline).Add(2 * t.skew())
	}
	return latest(latest(now, r.Deadline), r.KeyTime).Add(t.window() + 2*t.skew())
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire forgets what may be forgotten, a few records for each call.
func (t *Table) expire(now time.Time) {
	for _, id := range t.wheel.due(now) {
		r, ok := t.records[id]
		if !ok {
			continue
		}
		if r.phase == phaseQueued || r.phase == phaseRunning {
			t.wheel.add(now.Add(t.window()), id)
			continue
		}
		if r.forget <= now.UnixMilli() {
			delete(t.records, id)
		}
	}
}

func (r record) verdict() Verdict {
	switch r.phase {
	case phaseQueued, phaseRunning:
		return VerdictJoin
	case phaseAnswered:
		return VerdictAnswered
	case phaseTombstone:
		return VerdictNever
	case phaseBroken:
		return VerdictMaybe
	}
	return VerdictMaybe
}

func (t *Table) birth() time.Time {
	return time.UnixMicro(int64(t.Incarnation))
}

func (t *Table) window() time.Duration { return orDefault(t.Window, DefaultWindow) }
func (t *Table) future() time.Duration { return orDefault(t.MaxKeyAhead, DefaultMaxKeyAhead) }
func (t *Table) skew() time.Duration   { return orDefault(t.MaxClockSkew, DefaultMaxClockSkew) }

func (t *Table) limit() int {
	if t.MaxRecords > 0 {
		return t.MaxRecords
	}
	return DefaultMaxRecords
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
