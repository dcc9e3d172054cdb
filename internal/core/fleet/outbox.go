package fleet

import (
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// outbox holds the notices and permit requests to send. Guarded by the table's lock.
type outbox struct {
	notices []quota.Notice
	// wanted holds the lives to request permits for.
	wanted map[catalog.Life]struct{}
	// notify wakes the sender; self is this process's box in notices. Both are set
	// before use.
	notify func()
	self   quota.BoxHash
}

// NotifyOutbox sets this process's box in notices, and the function that is called when
// there is something to send. The function runs with the table's lock held and must not
// block. Without it nothing is queued, and the table grants its own permits.
func (t *Table) NotifyOutbox(self quota.BoxHash, notify func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox.self, t.outbox.notify = self, notify
}

// queueNotice queues a notice to all processes. The caller holds the lock.
func (t *Table) queueNotice(notice quota.Notice) {
	if t.outbox.notify != nil {
		t.outbox.notices = append(t.outbox.notices, notice)
		t.outbox.notify()
	}
}

// DrainOutbox returns the notices to send to all processes, and the permit requests to
// send to the processes that grant them.
func (t *Table) DrainOutbox(now time.Time) (notices []quota.Notice, requests []PermitRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	notices, t.outbox.notices = t.outbox.notices, nil
	for life := range t.outbox.wanted {
		state := t.lives[life]
		if state == nil || !state.limit.permits.Limited() {
			delete(t.outbox.wanted, life)
			continue
		}
		want := state.limit.permits.PermitsNeeded(now)
		if want <= 0 {
			continue
		}
		delete(t.outbox.wanted, life)
		request := PermitRequest{PermitRequest: quota.PermitRequest{Key: quota.KeyOf(life), Told: state.notices(life, now), Want: want}}
		request.Number, request.Unanswered = state.limit.permits.StartRequest(now)
		requests = append(requests, request)
	}
	return notices, requests
}

// PermitRequest is a permit request and how many before it went unanswered.
type PermitRequest struct {
	quota.PermitRequest

	Unanswered int
}

// ApplyGrant applies a granting process's answer. It returns false if the answer isn't
// to the last request or came too late.
func (t *Table) ApplyGrant(g *quota.Grant, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range g.Told {
		t.applyNotice(&g.Told[i], now)
	}
	life := g.Key.Life()
	state := t.lives[life]
	if state == nil || !state.limit.permits.ApplyGrant(g, now) {
		return false
	}
	if x := t.targets[life.ID]; x != nil && x.replica.Life() == life {
		t.rejectHopeless(x.replica.Service, now)
		t.serveQueue(x.replica.Service, now)
	}
	return true
}

// wantPermits records that a request could go to any limited replica of a service, and
// requests a permit of one of them, drawn at random from those that may be asked now: a
// permit that is granted where a process has no request in time expires, and others lack
// it. The caller holds the lock.
func (t *Table) wantPermits(s graniteknot.Service, now time.Time) {
	var chosen *target
	limited, askable := 0, 0
	for _, x := range t.services[s] {
		if !x.limited() || x.excluded(now) {
			continue
		}
		limited++
		mayAsk := x.life.limit.permits.MayRequest(now)
		if mayAsk {
			askable++
		}
		switch {
		case mayAsk && rand.IntN(askable) == 0:
			chosen = x
		case askable == 0 && rand.IntN(limited) == 0:
			chosen = x
		}
	}
	if chosen == nil {
		return
	}
	chosen.life.limit.permits.RecordDemand(now)
	if chosen.life.limit.permits.PermitsNeeded(now) <= 0 {
		return
	}
	t.requestPermits(chosen.replica.Life(), now)
	if t.outbox.notify != nil {
		t.outbox.notify()
	}
}

// requestPermits queues a permit request. A table without an outbox grants its own
// permits.
func (t *Table) requestPermits(life catalog.Life, now time.Time) {
	if t.outbox.notify == nil {
		permits := &t.lives[life].limit.permits
		want := permits.PermitsNeeded(now)
		number, _ := permits.StartRequest(now)
		grant := t.localGranter.Grant(now, life, permits.Rate(), "", want)
		grant.Number = number
		permits.ApplyGrant(&grant, now)
		return
	}
	if t.outbox.wanted == nil {
		t.outbox.wanted = map[catalog.Life]struct{}{}
	}
	t.outbox.wanted[life] = struct{}{}
}
