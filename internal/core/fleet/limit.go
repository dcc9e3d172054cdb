package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// A replica's limit is about what all gateways send it together, so none may go by what it
// sends itself: each sends a limited replica only what its limit's home granted a permit for.

// limit is what a life said, to this process or to one that told it, of what it takes.
type limit struct {
	// named tells that it names a limit, which rate is, and as when the last answer that told
	// of it came; zero for never.
	named bool
	rate  quota.Rate
	as    time.Time
	// shed is who was turned away and asked for rest.
	shed shed
	// part is this process's part of what it takes.
	part quota.Part
}

// shed is what is known of the gateways that a life asked for rest. Whether it asks all or only
// one shows by the second one.
type shed struct {
	// first is who was asked first since it last answered anybody, as of as; all tells that
	// another one was since.
	first quota.Box
	asked bool
	all   bool
	as    time.Time
}

// settle has the part follow what is known: a replica that turned two gateways away, and nobody
// was answered since, takes nothing, and one request of all finds out now and then.
func (l *limit) settle() {
	switch {
	case l.shed.all:
		l.part.Limit(0)
	case l.named:
		l.part.Limit(l.rate)
	case l.part.Limited():
		l.part.Lift()
	}
}

// says takes in what an answer to a request that was sent at a time says of what its life takes,
// and tells the others; it returns whether that is new. An answer ends only what was said before
// its request was sent: answers pass one another. Called with the lock held.
func (t *Table) says(x *target, w Feedback, sent, now time.Time) bool {
	changed := false
	for _, told := range w.told(x, sent, t.outbox.self) {
		known := t.wordOf(x, now)
		if known.take(&told, now) {
			changed = true
			t.tell(told)
		}
	}
	return changed
}

// told is what a word says of its life that may be new.
func (w Feedback) told(x *target, sent time.Time, self quota.Box) []quota.Told {
	if w == (Feedback{Answered: true, Unlimited: true}) && (x.word == nil || !x.word.limit.holds()) {
		return nil
	}
	key := quota.KeyOf(x.replica.Life())
	var out []quota.Told
	switch {
	case w.Limit.Named:
		out = append(out, quota.Told{Key: key, Holds: true, Rate: w.Limit.Rate})
	case w.Unlimited && x.word != nil && sent.After(x.word.limit.as):
		out = append(out, quota.Told{Key: key})
	}
	switch {
	case w.Backoff > 0:
		out = append(out, quota.Told{Key: key, Subject: quota.SubjectRest, Holds: true, By: self})
	case w.Answered && x.word != nil && sent.After(x.word.limit.shed.as):
		out = append(out, quota.Told{Key: key, Subject: quota.SubjectRest})
	}
	if w.Leaving {
		out = append(out, quota.Told{Key: key, Subject: quota.SubjectLeaving, Holds: true})
	}
	return out
}

// holds tells whether anything is known that binds.
func (l *limit) holds() bool { return l.named || l.shed.asked }

// take takes in what was told, unless something later is known. It returns whether that is new.
func (w *word) take(told *quota.Told, now time.Time) bool {
	as := now.Add(-time.Duration(told.Age) * time.Millisecond)
	w.said = now
	switch told.Subject {
	case quota.SubjectLimit:
		return w.limit.takeLimit(told, as)
	case quota.SubjectRest:
		return w.limit.takeRest(told, as)
	case quota.SubjectLeaving:
		before := w.leaving
		w.leaving = true
		return !before
	}
	return false
}

func (l *limit) takeLimit(told *quota.Told, as time.Time) bool {
	if !as.After(l.as) {
		return false
	}
	changed := l.named != told.Holds || l.rate != told.Rate
	l.as, l.named, l.rate = as, told.Holds, told.Rate
	l.settle()
	return changed
}

func (l *limit) takeRest(told *quota.Told, as time.Time) bool {
	s := &l.shed
	if as.Before(s.as) {
		return false
	}
	before := *s
	s.as = as
	switch {
	case !told.Holds:
		s.asked, s.all = false, false
	case !s.asked:
		s.asked, s.first = true, told.By
	case s.first != told.By:
		s.all = true
	}
	l.settle()
	return s.asked != before.asked || s.all != before.all
}

// tellings are what is known of the life, as it is told to others.
func (w *word) tellings(l catalog.Life, now time.Time) []quota.Told {
	key := quota.KeyOf(l)
	var out []quota.Told
	if !w.limit.as.IsZero() {
		out = append(out, quota.Told{Key: key, Holds: w.limit.named, Rate: w.limit.rate, Age: milliseconds(now.Sub(w.limit.as))})
	}
	if s := &w.limit.shed; s.asked {
		age := milliseconds(now.Sub(s.as))
		out = append(out, quota.Told{Key: key, Subject: quota.SubjectRest, Holds: true, By: s.first, Age: age})
		if s.all {
			out = append(out, quota.Told{Key: key, Subject: quota.SubjectRest, Holds: true, By: ^s.first, Age: age})
		}
	}
	return out
}

func milliseconds(d time.Duration) int64 { return max(0, d.Milliseconds()) }

// ApplyNotice takes in what another process told of a life, unless something later is known. It
// returns whether that is new.
func (t *Table) ApplyNotice(w *quota.Told, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told(w, now)
}

func (t *Table) told(w *quota.Told, now time.Time) bool {
	life := w.Key.Life()
	known := t.words[life]
	if known == nil && !w.Holds {
		return false
	}
	if known == nil {
		known = t.addWord(life, now)
	}
	if !known.take(w, now) {
		return false
	}
	if x := t.targets[life.ID]; x != nil && x.replica.Life() == life {
		t.serve(x.replica.Service, now)
	}
	return true
}

// LimitOf returns how many requests a second a life takes, as far as it is known to be limited,
// and what is known of it.
func (t *Table) LimitOf(life catalog.Life, now time.Time) (rate quota.Rate, limited bool, told []quota.Told) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.words[life]
	if w == nil {
		return 0, false, nil
	}
	return w.limit.part.Rate(), w.limit.part.Limited(), w.tellings(life, now)
}

// Limits returns all limits that are known, and what else is known of their lives.
func (t *Table) Limits(now time.Time) []quota.Told {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []quota.Told
	for life, w := range t.words {
		if w.limit.holds() {
			out = append(out, w.tellings(life, now)...)
		}
	}
	return out
}

// limited tells whether this process may send the replica only what it has permits for. One that
// the replica asked itself for rest, which is over, finds out by a request of its own whether
// it takes any again.
func (t *target) limited() bool {
	if t.word == nil || !t.word.limit.part.Limited() {
		return false
	}
	return t.word.limit.named || !t.word.unproved
}

// permitted tells whether the replica has no limit, or this process a permit.
func (t *target) permitted(now time.Time) bool {
	return !t.limited() || t.word.limit.part.Ready(now)
}
