package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// A cold replica collapses above its warm-up rate, which applies to the requests of all
// gateways together. It is treated as a limit that the replica states, so that gateways
// need permits for it until it is warm.

// minWarmupChange is how far a response must move the end of a warm-up to change it. Each response
// of a cold replica states the rest of the time, less the time on the way; without a least change
// each would be told to all gateways.
const minWarmupChange = 250 * time.Millisecond

// warmupState is what responses said of how long a replica is cold.
type warmupState struct {
	// stated is the last time stated, by a response or by the record; asOf is when.
	stated time.Duration
	asOf   time.Time
	// told reports whether it was a response.
	told bool
}

// setWarmup applies what a record, written at since or later, says about how long its replica is
// cold. A record that repeats what it said before doesn't extend that time. The caller holds the
// lock.
func (t *Table) setWarmup(x *target, r *catalog.Replica, since, now time.Time) {
	cold := r.Warmup > 0 && r.WarmupRate > 0
	if !cold && (x.life == nil || !x.life.limit.warming()) {
		return
	}
	l := &t.lifeOf(x, now).limit
	switch {
	case cold:
		l.coldRate, l.coldUntil = quota.Rate(r.WarmupRate), now.Add(r.Warmup)
		l.warmup = warmupState{stated: r.Warmup, asOf: now}
	case l.warmup.told && !since.After(l.warmup.asOf):
		// The record may be older than the response.
		l.coldRate = quota.Rate(r.WarmupRate)
	default:
		l.endWarmup()
		l.warmup = warmupState{asOf: now}
	}
	l.updatePermits()
}

// updateWarmup applies what a later record of a replica changes. The caller holds the lock.
func (t *Table) updateWarmup(x *target, r *catalog.Replica, now time.Time) {
	switch {
	case r.Warmup != x.replica.Warmup:
		t.setWarmup(x, r, now, now)
	case r.WarmupRate != x.replica.WarmupRate && x.life != nil && x.life.limit.warming():
		// The record was read before the configuration, or that has changed.
		x.life.limit.coldRate = quota.Rate(r.WarmupRate)
		x.life.limit.updatePermits()
	}
}

// setColdRate takes the rate from the life's record, which a response does not state.
func (s *lifeState) setColdRate(x *target) {
	if !s.limit.cold() {
		s.limit.coldRate = quota.Rate(x.replica.WarmupRate)
	}
}

// applyWarmup applies what a response at asOf said about how long its replica is cold. One that
// repeats what was said before doesn't extend that time. It returns whether anything changed.
func (l *limitState) applyWarmup(left time.Duration, asOf, now time.Time) bool {
	if !asOf.After(l.warmup.asOf) || left == l.warmup.stated {
		return false
	}
	until := asOf.Add(left)
	warming := left > 0 && until.After(now)
	if !warming && !l.warming() || warming && l.warming() && until.Sub(l.coldUntil).Abs() < minWarmupChange {
		return false
	}
	l.warmup = warmupState{stated: left, asOf: asOf, told: true}
	if warming {
		l.coldUntil = until
	} else {
		l.endWarmup()
	}
	l.updatePermits()
	return true
}

// warmupNotices returns what responses said about how long the replica is cold. What its record
// says all gateways read.
func (l *limitState) warmupNotices(key quota.Key, now time.Time) []quota.Notice {
	if !l.warmup.told {
		return nil
	}
	notice := quota.WarmupNotice(key, l.warmup.stated)
	notice.Age = ageMillis(now.Sub(l.warmup.asOf))
	return []quota.Notice{notice}
}

// endWarmups lifts the limits of replicas that are warm by now. The caller holds the lock.
func (t *Table) endWarmups(now time.Time) {
	for _, x := range t.targets {
		if x.life == nil || !x.life.limit.warming() || now.Before(x.life.limit.coldUntil) {
			continue
		}
		x.life.limit.endWarmup()
		x.life.limit.updatePermits()
		t.serveQueue(x.replica.Service, now)
	}
}

// warming reports whether the replica is known to be cold.
func (l *limitState) warming() bool { return !l.coldUntil.IsZero() }

// cold reports whether that limits the replica: its service has a warm-up rate.
func (l *limitState) cold() bool { return l.warming() && l.coldRate > 0 }

func (l *limitState) endWarmup() { l.coldUntil = time.Time{} }
