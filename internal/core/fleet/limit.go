package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// A replica's limit applies to the requests of all gateways together, so none can enforce it by
// counting its own: each sends a limited replica only the requests it was granted permits for.

// limitState is the limit of a life, from feedback to this process or from notices of
// others.
type limitState struct {
	// announced reports whether the life has announced a limit, which is rate; asOf is
	// the time of the last response that set or cleared it, zero if none did.
	announced bool
	rate      quota.Rate
	asOf      time.Time
	// coldRate is the limit of the replica until it is warm at coldUntil, which is zero
	// while it is warm. The rate is zero until the record is known, which names the service.
	coldRate  quota.Rate
	coldUntil time.Time
	// warmup is what responses said of the same.
	warmup warmupState
	// shedding tells which gateways it refused and asked to back off.
	shedding sheddingState
	// permits is this process's share of the limit.
	permits quota.Allocation
}

// sheddingState tracks the gateways that a life asked to back off. A request from a
// second gateway shows that it refuses all, not just one.
type sheddingState struct {
	// firstGateway is the first gateway it refused since it last answered any, as
	// of asOf; multiple reports whether it has refused another one since.
	firstGateway quota.BoxHash
	active       bool
	multiple     bool
	asOf         time.Time
}

// updatePermits brings the permits in line with the state. A replica that refused two
// gateways and answered none since gets a rate of zero; then an occasional request
// from one of all gateways probes it.
func (l *limitState) updatePermits() {
	switch {
	case l.shedding.multiple:
		l.permits.SetLimit(0)
	case l.announced && l.cold():
		l.permits.SetLimit(min(l.rate, l.coldRate))
	case l.announced:
		l.permits.SetLimit(l.rate)
	case l.cold():
		l.permits.SetLimit(l.coldRate)
	case l.permits.Limited():
		l.permits.ClearLimit()
	}
}

// applyFeedback applies a response's feedback and queues notices for the other
// processes. It returns whether anything changed. A response clears only what was
// announced before its request was sent, since responses may overtake one another.
// The caller holds the lock.
func (t *Table) applyFeedback(x *target, f Feedback, sent, now time.Time) bool {
	changed := false
	for _, notice := range f.notices(x, sent, t.outbox.self) {
		state := t.lifeOf(x, now)
		state.setColdRate(x)
		if state.apply(&notice, now) {
			changed = true
			t.queueNotice(notice)
		}
	}
	return changed
}

// notices returns the notices for the parts of the feedback that may be new.
func (f Feedback) notices(x *target, sent time.Time, self quota.BoxHash) []quota.Notice {
	if f == (Feedback{Answered: true, Unlimited: true}) && (x.life == nil || !x.life.limit.binding()) {
		return nil
	}
	key := quota.KeyOf(x.replica.Life())
	var out []quota.Notice
	switch {
	case f.Limit.Present:
		out = append(out, quota.Notice{Key: key, Holds: true, Rate: f.Limit.Rate})
	case f.Unlimited && x.life != nil && sent.After(x.life.limit.asOf):
		out = append(out, quota.Notice{Key: key})
	}
	switch {
	case f.Backoff > 0:
		out = append(out, quota.Notice{Key: key, Subject: quota.SubjectBackoff, Holds: true, By: self})
	case f.Answered && x.life != nil && sent.After(x.life.limit.shedding.asOf):
		out = append(out, quota.Notice{Key: key, Subject: quota.SubjectBackoff})
	}
	if f.Warmup.Present {
		out = append(out, quota.WarmupNotice(key, f.Warmup.Left))
	}
	if f.Leaving {
		out = append(out, quota.Notice{Key: key, Subject: quota.SubjectLeaving, Holds: true})
	}
	return out
}

// binding reports whether a limit, a backoff or a warm-up is known from responses.
func (l *limitState) binding() bool {
	return l.announced || l.shedding.active || l.warmup.told && l.warming()
}

// apply applies a notice unless something newer is known. It returns whether anything
// changed.
func (s *lifeState) apply(notice *quota.Notice, now time.Time) bool {
	asOf := now.Add(-time.Duration(notice.Age) * time.Millisecond)
	s.updated = now
	switch notice.Subject {
	case quota.SubjectLimit:
		return s.limit.applyLimit(notice, asOf)
	case quota.SubjectBackoff:
		return s.limit.applyBackoff(notice, asOf)
	case quota.SubjectWarmup:
		return s.limit.applyWarmup(notice.Warmup(), asOf, now)
	case quota.SubjectLeaving:
		before := s.leaving
		s.leaving = true
		return !before
	}
	return false
}

func (l *limitState) applyLimit(notice *quota.Notice, asOf time.Time) bool {
	if !asOf.After(l.asOf) {
		return false
	}
	changed := l.announced != notice.Holds || l.rate != notice.Rate
	l.asOf, l.announced, l.rate = asOf, notice.Holds, notice.Rate
	l.updatePermits()
	return changed
}

func (l *limitState) applyBackoff(notice *quota.Notice, asOf time.Time) bool {
	s := &l.shedding
	if asOf.Before(s.asOf) {
		return false
	}
	before := *s
	s.asOf = asOf
	switch {
	case !notice.Holds:
		s.active, s.multiple = false, false
	case !s.active:
		s.active, s.firstGateway = true, notice.By
	case s.firstGateway != notice.By:
		s.multiple = true
	}
	l.updatePermits()
	return s.active != before.active || s.multiple != before.multiple
}

// notices returns what is known of the life's limit as notices to others.
func (s *lifeState) notices(l catalog.Life, now time.Time) []quota.Notice {
	key := quota.KeyOf(l)
	var out []quota.Notice
	if !s.limit.asOf.IsZero() {
		out = append(out, quota.Notice{Key: key, Holds: s.limit.announced, Rate: s.limit.rate, Age: ageMillis(now.Sub(s.limit.asOf))})
	}
	if shedding := &s.limit.shedding; shedding.active {
		age := ageMillis(now.Sub(shedding.asOf))
		out = append(out, quota.Notice{Key: key, Subject: quota.SubjectBackoff, Holds: true, By: shedding.firstGateway, Age: age})
		if shedding.multiple {
			out = append(out, quota.Notice{Key: key, Subject: quota.SubjectBackoff, Holds: true, By: ^shedding.firstGateway, Age: age})
		}
	}
	return append(out, s.limit.warmupNotices(key, now)...)
}

func ageMillis(d time.Duration) int64 { return max(0, d.Milliseconds()) }

// ApplyNotice applies another process's notice about a life unless something newer is
// known. It returns whether anything changed.
func (t *Table) ApplyNotice(notice *quota.Notice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyNotice(notice, now)
}

func (t *Table) applyNotice(notice *quota.Notice, now time.Time) bool {
	life := notice.Key.Life()
	state := t.lives[life]
	if state == nil && !notice.Holds {
		return false
	}
	if state == nil {
		state = t.addLife(life, now)
	}
	x := t.targets[life.ID]
	known := x != nil && x.replica.Life() == life
	if known {
		state.setColdRate(x)
	}
	if !state.apply(notice, now) {
		return false
	}
	if known {
		t.serveQueue(x.replica.Service, now)
	}
	return true
}

// LimitOf returns how many requests a second a life takes, whether it is known to be
// limited, and what is known of it as notices.
func (t *Table) LimitOf(life catalog.Life, now time.Time) (rate quota.Rate, limited bool, notices []quota.Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.lives[life]
	if state == nil {
		return 0, false, nil
	}
	return state.limit.permits.Rate(), state.limit.permits.Limited(), state.notices(life, now)
}

// Limits returns notices for all lives with a known limit or backoff.
func (t *Table) Limits(now time.Time) []quota.Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []quota.Notice
	for life, state := range t.lives {
		if state.limit.binding() {
			out = append(out, state.notices(life, now)...)
		}
	}
	return out
}

// limited reports whether this process needs permits for the replica. A warm replica that
// announced no limit but asked this process to back off is probed after that without
// one.
func (t *target) limited() bool {
	if t.life == nil || !t.life.limit.permits.Limited() {
		return false
	}
	return t.life.limit.announced || t.life.limit.cold() || !t.life.unconfirmed
}

// hasPermit reports whether the replica is unlimited or this process holds a permit.
func (t *target) hasPermit(now time.Time) bool {
	return !t.limited() || t.life.limit.permits.Ready(now)
}
