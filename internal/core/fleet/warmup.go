package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// A cold replica collapses above its warm-up rate, which applies to the requests of all
// gateways together. It is treated as a limit that the replica states, so that gateways
// need permits for it until it is warm.

// setWarmup applies what a record says about how long its replica is cold. A record that
// repeats what it said before doesn't extend that time. The caller holds the lock.
func (t *Table) setWarmup(x *target, r *catalog.Replica, now time.Time) {
	cold := r.Warmup > 0 && r.WarmupRate > 0
	if !cold && (x.life == nil || !x.life.limit.cold()) {
		return
	}
	l := &t.lifeOf(x, now).limit
	if cold {
		l.coldRate, l.coldUntil = quota.Rate(r.WarmupRate), now.Add(r.Warmup)
	} else {
		l.endWarmup()
	}
	l.updatePermits()
}

// endWarmups lifts the limits of replicas that are warm by now. The caller holds the lock.
func (t *Table) endWarmups(now time.Time) {
	for _, x := range t.targets {
		if x.life == nil || !x.life.limit.cold() || now.Before(x.life.limit.coldUntil) {
			continue
		}
		x.life.limit.endWarmup()
		x.life.limit.updatePermits()
		t.serveQueue(x.replica.Service, now)
	}
}

// cold reports whether the replica is cold.
func (l *limitState) cold() bool { return !l.coldUntil.IsZero() }

func (l *limitState) endWarmup() { l.coldRate, l.coldUntil = 0, time.Time{} }
