package fleet

import (
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// maxLives bounds the lives without a record whose state is kept. Beyond it, states
// that no longer matter are dropped first, then the least recently updated one.
const maxLives = 4096

// permitMaxAge is how long after it was taken a permit may be used to send its request.
const permitMaxAge = 500 * time.Millisecond

// Feedback is what a response tells about the replica that sent it.
type Feedback struct {
	// Backoff is how long the replica wants no requests from this process; 0 if unset.
	Backoff time.Duration
	// Leaving reports that the replica will end as planned.
	Leaving bool
	// Limit is the limit over all processes together.
	Limit quota.StatedLimit
	// Warmup is how long the replica is cold.
	Warmup quota.StatedWarmup
	// Answered reports that the replica ran the request, Unlimited that it would have
	// announced a limit if it had one.
	Answered, Unlimited bool
}

// lifeState is what this process knows of a life from feedback or its record. It is
// kept per life beside the record, since a record may vanish and come back while the
// replica is still backing off or leaving. If a backoff were kept with the request that
// got it, it would bind no other request, and a replica that refuses all would be
// chosen first because it has no requests.
type lifeState struct {
	// leaving lives get no new requests.
	leaving bool
	// backoffUntil is when the requested backoff ends; zero if none was requested.
	backoffUntil time.Time
	// backoffHeard is when the replica last requested backoff.
	backoffHeard time.Time
	// unconfirmed reports that no response has come since the last backoff request.
	unconfirmed bool
	// ended reports that the life's record was removed or that another life replaced it;
	// lastBeat is the record's heartbeat count at that time.
	ended    bool
	lastBeat int64
	// lastHeartbeat is the earliest time at which the ended life's last heartbeat, or
	// its record, was written.
	lastHeartbeat time.Time
	// failures and ejectedUntil keep the target's values while there is no record.
	failures     int
	ejectedUntil time.Time
	// limit is the limit over all processes together.
	limit limitState
	// updated is when the state was last updated.
	updated time.Time
}

// ApplyFeedback applies a response's feedback. It returns whether anything changed.
func (l *Lease) ApplyFeedback(f Feedback, now time.Time) bool {
	if f == (Feedback{}) {
		return false
	}
	t := l.table
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.applyFeedback(l.target, f, l.sent, now)
	if f.Backoff <= 0 {
		return changed
	}
	state := t.lifeOf(l.target, now)
	before := *state
	state.unconfirmed, state.backoffHeard = true, now
	// Responses to several requests may arrive out of order: a shorter backoff doesn't
	// end a longer one.
	if until := now.Add(f.Backoff); until.After(state.backoffUntil) {
		state.backoffUntil = until
	}
	return changed || !before.unconfirmed || !before.backoffUntil.After(now)
}

// Allowed reports whether the replica may still get the request; this may have changed
// since the choice. A replica that announced a limit meanwhile needs a permit, and a
// permit that expired while connecting needs another.
func (l *Lease) Allowed(now time.Time) bool {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.target.excluded(now) {
		return false
	}
	if !l.target.limited() || !l.permitAt.IsZero() && now.Sub(l.permitAt) < permitMaxAge {
		return true
	}
	l.permitAt = now
	return l.target.life.limit.permits.Take(now)
}

// lifeOf returns the state of a target's life for updating. The caller holds the lock.
func (t *Table) lifeOf(x *target, now time.Time) *lifeState {
	if x.life == nil {
		x.life = t.addLife(x.replica.Life(), now)
	}
	x.life.updated = now
	return x.life
}

// addLife adds the state of a life. The caller holds the lock.
func (t *Table) addLife(life catalog.Life, now time.Time) *lifeState {
	t.pruneLives(now)
	state := &lifeState{updated: now}
	t.lives[life] = state
	if x := t.targets[life.ID]; x != nil && x.replica.Life() == life {
		x.life = state
	}
	return state
}

// markEnded records that a life's record was removed. The caller holds the lock.
func (t *Table) markEnded(x *target) {
	state := t.lifeOf(x, t.Clock.Now())
	state.ended, state.lastBeat, state.lastHeartbeat = true, x.replica.Beat, x.writtenAfter
	if x.lastHeartbeat.After(state.lastHeartbeat) {
		state.lastHeartbeat = x.lastHeartbeat
	}
	state.failures, state.ejectedUntil = x.failures, x.ejectedUntil
}

// lifeEnded reports whether a record is of a life known to have ended, with no
// heartbeat since: a store restored from an older copy or read from a lagging reader
// shows such records. A live replica soon writes another heartbeat. The caller holds the
// lock.
func (t *Table) lifeEnded(r *catalog.Replica) bool {
	state := t.lives[r.Life()]
	if state == nil || !state.ended {
		return false
	}
	if r.Beat > 0 && r.Beat <= state.lastBeat {
		return true
	}
	state.ended = false
	return false
}

// restoreLife gives a target the state of its life from before it was registered again.
func (t *Table) restoreLife(x *target) {
	x.life = t.lives[x.replica.Life()]
	if x.life != nil {
		x.failures, x.ejectedUntil = x.life.failures, x.life.ejectedUntil
	}
}

// noteDraining copies a record's draining mark to the life's state, so that it outlives
// the record. The caller holds the lock.
func (t *Table) noteDraining(x *target, now time.Time) {
	if x.replica.Draining {
		t.lifeOf(x, now).leaving = true
	}
}

// pruneLives bounds the number of states kept. The caller holds the lock.
func (t *Table) pruneLives(now time.Time) {
	if t.lives == nil {
		t.lives = map[catalog.Life]*lifeState{}
	}
	if len(t.lives) < maxLives {
		return
	}
	var oldestLife catalog.Life
	var oldest *lifeState
	for life, state := range t.lives {
		if t.targets[life.ID] != nil && t.targets[life.ID].life == state {
			continue
		}
		if !state.leaving && !state.backoffUntil.After(now) && !state.limit.binding() {
			delete(t.lives, life)
			continue
		}
		if oldest == nil || state.updated.Before(oldest.updated) {
			oldestLife, oldest = life, state
		}
	}
	if len(t.lives) >= maxLives {
		delete(t.lives, oldestLife)
	}
}

// backingOff reports whether the replica wants no requests from this process now.
func (t *target) backingOff(now time.Time) bool {
	return t.life != nil && now.Before(t.life.backoffUntil)
}

// excluded reports whether the replica must not get requests now, even as a last
// resort.
func (t *target) excluded(now time.Time) bool {
	return t.closed() || t.lapseEnded(now) || t.backingOff(now)
}

// confirming reports whether a request is in flight that probes the replica after its
// backoff. Otherwise all queued requests would be sent at once and refused again.
func (t *target) confirming() bool { return t.life != nil && t.life.unconfirmed && t.probing }

// serveAfterBackoff serves requests queued for replicas whose backoff may have ended,
// since no event signals that end. The caller holds the lock.
func (t *Table) serveAfterBackoff(now time.Time) {
	for s := range t.queues {
		affected := slices.ContainsFunc(t.services[s], func(x *target) bool { return x.life != nil && (x.life.unconfirmed || x.limited()) })
		if affected {
			t.rejectHopeless(s, now)
			t.serveQueue(s, now)
		}
	}
}

// rejectHopeless refuses queued requests that would give up before any replica accepts
// requests. The caller holds the lock.
func (t *Table) rejectHopeless(s graniteknot.Service, now time.Time) {
	if len(t.queues[s]) == 0 {
		return
	}
	q := &Query{Service: t.queues[s][0].query.Service, MaxGap: t.queues[s][0].query.MaxGap, Now: now}
	if t.limitBound(q, t.throughput(q)) {
		t.rejectUnpermitted(s, now)
		return
	}
	wait := t.timeUntilAvailable(q)
	if wait == 0 {
		return
	}
	t.queues[s] = slices.DeleteFunc(t.queues[s], func(x *waiter) bool {
		hopeless := now.Add(wait).After(x.bounds.GiveUpAt)
		if hopeless {
			x.result <- nil
		}
		return hopeless
	})
}

// rejectUnpermitted refuses queued requests that get no permit in time. The caller
// holds the lock.
func (t *Table) rejectUnpermitted(s graniteknot.Service, now time.Time) {
	before := 0
	t.queues[s] = slices.DeleteFunc(t.queues[s], func(x *waiter) bool {
		x.query.Now = now
		if t.permitInTime(x.query, x.bounds, before) {
			before++
			return false
		}
		x.result <- nil
		return true
	})
}

// availableFrom returns when the replica accepts a request from this process, by its
// backoff and its limit.
func (t *target) availableFrom(now time.Time) time.Time {
	switch {
	case t.backingOff(now):
		return t.life.backoffUntil
	case !t.hasPermit(now):
		return t.life.limit.permits.NextPermit(now)
	}
	return now
}

// TimeUntilAvailable returns the time until the first of a service's replicas accepts a
// request again; 0 if one does now or none is left.
func (t *Table) TimeUntilAvailable(q *Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timeUntilAvailable(q)
}

// timeUntilAvailable is TimeUntilAvailable with the lock held by the caller.
func (t *Table) timeUntilAvailable(q *Query) time.Duration {
	var first time.Time
	for _, x := range t.services[q.Service.Name] {
		if x.closed() || !q.Allowed.allows(x) {
			continue
		}
		at := x.availableFrom(q.Now)
		if !at.After(q.Now) {
			return 0
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return 0
	}
	return first.Sub(q.Now)
}
