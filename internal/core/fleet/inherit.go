package fleet

import (
	"time"

	"graniteknot.org/go/internal/core/quota"
)

// inheritWindow is how long feedback on an ended life is applied to the next one.
const inheritWindow = 10 * time.Second

// inheritFeedback applies to a new life the feedback heard since the last heartbeat
// of the previous life with the same ID. A response doesn't tell which life sent it,
// so it may have come from the new one before its record was read. Backoffs and
// limits expire or are cleared by a response; a leaving mark would not, so it stays
// with the old life. The caller holds the lock.
func (t *Table) inheritFeedback(to *target, now time.Time) {
	for life, state := range t.lives {
		if life.ID == to.replica.ID && life.Born != to.replica.Born && state.ended {
			t.copyFeedback(state, to, now)
		}
	}
}

// copyFeedback applies the feedback on an ended life to another life. The caller
// holds the lock.
func (t *Table) copyFeedback(from *lifeState, to *target, now time.Time) {
	since := from.lastHeartbeat
	if earliest := now.Add(-inheritWindow); earliest.After(since) {
		since = earliest
	}
	backoff := from.backoffUntil.After(now) && from.backoffHeard.After(since)
	limit := from.limit.announced && from.limit.asOf.After(since)
	shedding := from.limit.shedding.active && from.limit.shedding.asOf.After(since)
	warmup := from.limit.warmup.told && from.limit.warming() && from.limit.warmup.asOf.After(since)
	if !backoff && !limit && !shedding && !warmup {
		return
	}
	next := t.lifeOf(to, now)
	if backoff && from.backoffUntil.After(next.backoffUntil) {
		next.backoffUntil, next.backoffHeard, next.unconfirmed = from.backoffUntil, from.backoffHeard, true
	}
	if limit && from.limit.asOf.After(next.limit.asOf) {
		next.limit.announced, next.limit.rate, next.limit.asOf = true, from.limit.rate, from.limit.asOf
	}
	if shedding && from.limit.shedding.asOf.After(next.limit.shedding.asOf) {
		next.limit.shedding = from.limit.shedding
	}
	if warmup && from.limit.warmup.asOf.After(next.limit.warmup.asOf) {
		next.limit.warmup, next.limit.coldRate, next.limit.coldUntil = from.limit.warmup, quota.Rate(to.replica.WarmupRate), from.limit.coldUntil
	}
	next.limit.updatePermits()
}
