package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// A replica's limit is about what all gateways send it together, so none may go by what it
// sends itself: each sends a limited replica only what its limit's home granted a permit for.

// limit is what a life said of its limit, to this process or to one that told it.
type limit struct {
	// as is when the last answer that told of it came; zero for never.
	as time.Time
	// part is this process's part of it.
	part quota.Part
}

// outbox holds what is to be told to others. The table's lock guards it.
type outbox struct {
	told []quota.Told
	// asking are the lives of which permits are wanted.
	asking map[catalog.Life]struct{}
	// ready tells the one who sends that there is something; it is set before use.
	ready func()
}

// OnOutbox sets what is called, without waiting and with the table's lock held, when
// something is to be told or asked. Without it nothing is, and the table is the home of all
// limits.
func (t *Table) OnOutbox(ready func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox.ready = ready
}

func (t *Table) signal() {
	if t.outbox.ready != nil {
		t.outbox.ready()
	}
}

// saysLimit takes in what an answer to a request that was sent at a time says of the limit; it
// returns whether that is new. An answer ends a limit only where its request was sent after the
// limit was named: answers pass one another. Called with the lock held.
func (t *Table) saysLimit(x *target, w Word, sent, now time.Time) bool {
	if !w.Limit.Named && (!w.Unlimited || !x.limited() || !sent.After(x.word.limit.as)) {
		return false
	}
	known := t.wordOf(x, now)
	changed := known.limit.part.Limited() != w.Limit.Named || w.Limit.Named && known.limit.part.Rate() != w.Limit.Rate
	known.setLimit(w.Limit.Named, w.Limit.Rate, now)
	if changed && t.outbox.ready != nil {
		t.outbox.told = append(t.outbox.told, known.toldOf(x.replica.Life(), now))
		t.signal()
	}
	return changed
}

func (w *word) setLimit(limited bool, rate quota.Rate, as time.Time) {
	w.limit.as = as
	if limited {
		w.limit.part.Limit(rate)
	} else {
		w.limit.part.Lift()
	}
}

// toldOf is what is known of the limit, as it is told to others.
func (w *word) toldOf(l catalog.Life, now time.Time) quota.Told {
	return quota.Told{
		Key: quota.KeyOf(l), Limited: w.limit.part.Limited(), Rate: w.limit.part.Rate(), Age: max(0, now.Sub(w.limit.as).Milliseconds()),
	}
}

// Told takes in what another process told of a limit, unless something later is known. It
// returns whether that is new.
func (t *Table) Told(w *quota.Told, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told(w, now)
}

func (t *Table) told(w *quota.Told, now time.Time) bool {
	as := now.Add(-time.Duration(w.Age) * time.Millisecond)
	life := w.Key.Life()
	known := t.words[life]
	if known != nil && !as.After(known.limit.as) || known == nil && !w.Limited {
		return false
	}
	if known == nil {
		known = t.addWord(life, now)
	}
	changed := known.limit.part.Limited() != w.Limited || known.limit.part.Rate() != w.Rate
	known.said = now
	known.setLimit(w.Limited, w.Rate, as)
	if x := t.targets[life.ID]; changed && x != nil && x.replica.Life() == life {
		t.serve(x.replica.Service, now)
	}
	return changed
}

// Limit returns what is known of a life's limit.
func (t *Table) Limit(life catalog.Life, now time.Time) quota.Told {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.words[life]; w != nil {
		return w.toldOf(life, now)
	}
	return quota.Told{Key: quota.KeyOf(life)}
}

// Limits returns all limits that are known.
func (t *Table) Limits(now time.Time) []quota.Told {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []quota.Told
	for life, w := range t.words {
		if w.limit.part.Limited() {
			out = append(out, w.toldOf(life, now))
		}
	}
	return out
}

// Outbox returns what is to be told to all, and the permits to ask the limits' homes for. Each
// ask also says how many before it had no answer.
func (t *Table) Outbox(now time.Time) (told []quota.Told, asks []LimitAsk) {
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
		ask := LimitAsk{Ask: quota.Ask{Told: w.toldOf(life, now), Want: want}}
		ask.Number, ask.Silent = w.limit.part.Asked(now)
		asks = append(asks, ask)
	}
	return told, asks
}

// LimitAsk is an ask, and how many before it were not answered.
type LimitAsk struct {
	quota.Ask

	Silent int
}

// Granted takes in a home's answer; false where it is not to the last ask, or came too late.
func (t *Table) Granted(g *quota.Grant, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told(&g.Told, now)
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

// limited tells whether the replica names a limit.
func (t *target) limited() bool { return t.word != nil && t.word.limit.part.Limited() }

// permitted tells whether the replica has no limit, or this process a permit.
func (t *target) permitted(now time.Time) bool {
	return !t.limited() || t.word.limit.part.Ready(now)
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
	if due {
		t.signal()
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

// Scarce tells whether all of a service's replicas that may be chosen are limited.
func (t *Table) Scarce(s graniteknot.Service, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, scarce := t.scarce(s, now)
	return scarce
}

// longestPlace bounds when a caller that is refused for want of a permit is told to come back.
const longestPlace = 5 * time.Second

// Place returns in how long a caller that is refused for want of a permit may come back: each
// so much later than the one before as this process has permits, so that they do not all meet
// at the first one.
func (t *Table) Place(q *Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond, scarce := t.scarce(q.Service.Name, q.Now)
	if !scarce {
		return 0
	}
	if t.places == nil {
		t.places = map[graniteknot.Service]time.Time{}
	}
	at := q.Now.Add(t.rested(q))
	if next := t.places[q.Service.Name].Add(after(1, perSecond)); next.After(at) {
		at = next
	}
	if last := q.Now.Add(longestPlace); at.After(last) {
		at = last
	}
	t.places[q.Service.Name] = at
	return at.Sub(q.Now)
}

// scarce tells whether all of a service's replicas that may be chosen are limited, and how many
// requests a second this process may expect to send them; called with the lock held.
func (t *Table) scarce(s graniteknot.Service, now time.Time) (perSecond float64, scarce bool) {
	for _, x := range t.services[s] {
		switch {
		case x.barred(now):
		case !x.limited():
			return 0, false
		default:
			perSecond += x.word.limit.part.PerSecond()
			scarce = true
		}
	}
	return perSecond, scarce
}
