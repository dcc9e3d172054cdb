package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// outbox holds what is to be told to others. The table's lock guards it.
type outbox struct {
	told []quota.Told
	// asking are the lives of which permits are wanted.
	asking map[catalog.Life]struct{}
	// ready tells the one who sends that there is something; self is what this process is
	// called. Both are set before use.
	ready func()
	self  quota.Box
}

// NotifyOutbox sets what is called, without waiting and with the table's lock held, when
// something is to be told or asked, and what the others call this process. Without it nothing
// is, and the table is the home of all limits.
func (t *Table) NotifyOutbox(self quota.Box, ready func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox.self, t.outbox.ready = self, ready
}

// tell has something told to all; called with the lock held.
func (t *Table) tell(w quota.Told) {
	if t.outbox.ready != nil {
		t.outbox.told = append(t.outbox.told, w)
		t.outbox.ready()
	}
}

// DrainOutbox returns what is to be told to all, and the permits to ask the limits' homes for. Each
// ask also says how many before it had no answer.
func (t *Table) DrainOutbox(now time.Time) (told []quota.Told, asks []PermitRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	told, t.outbox.told = t.outbox.told, nil
	for life := range t.outbox.asking {
		w := t.words[life]
		if w == nil || !w.limit.part.Limited() {
			delete(t.outbox.asking, life)
			continue
		}
		want := w.limit.part.Due(now)
		if want <= 0 {
			continue
		}
		delete(t.outbox.asking, life)
		ask := PermitRequest{Ask: quota.Ask{Key: quota.KeyOf(life), Told: w.tellings(life, now), Want: want}}
		ask.Number, ask.Unanswered = w.limit.part.Asked(now)
		asks = append(asks, ask)
	}
	return told, asks
}

// PermitRequest is an ask, and how many before it were not answered.
type PermitRequest struct {
	quota.Ask

	Unanswered int
}

// ApplyGrant takes in a home's answer; false where it is not to the last ask, or came too late.
func (t *Table) ApplyGrant(g *quota.Grant, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range g.Told {
		t.told(&g.Told[i], now)
	}
	life := g.Key.Life()
	w := t.words[life]
	if w == nil || !w.limit.part.Granted(g, now) {
		return false
	}
	if x := t.targets[life.ID]; x != nil && x.replica.Life() == life {
		t.dismiss(x.replica.Service, now)
		t.serve(x.replica.Service, now)
	}
	return true
}

// want notes that a request could have gone to any of a service's limited replicas; called with
// the lock held.
func (t *Table) want(s graniteknot.Service, now time.Time) {
	due := false
	for _, x := range t.services[s] {
		if !x.limited() || x.barred(now) {
			continue
		}
		x.word.limit.part.Want(now)
		if x.word.limit.part.Due(now) > 0 {
			t.ask(x.replica.Life(), now)
			due = true
		}
	}
	if due && t.outbox.ready != nil {
		t.outbox.ready()
	}
}

// ask has permits asked for. A table without others to ask is the home of all limits.
func (t *Table) ask(life catalog.Life, now time.Time) {
	if t.outbox.ready == nil {
		part := &t.words[life].limit.part
		want := part.Due(now)
		number, _ := part.Asked(now)
		grant := t.home.Deal(now, life, part.Rate(), "", want)
		grant.Number = number
		part.Granted(&grant, now)
		return
	}
	if t.outbox.asking == nil {
		t.outbox.asking = map[catalog.Life]struct{}{}
	}
	t.outbox.asking[life] = struct{}{}
}
