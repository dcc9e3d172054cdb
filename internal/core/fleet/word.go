package fleet

import (
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// mostWords bounds the lives without a record whose words are remembered; beyond it those go
// first that bind no more, and then those that were said first.
const mostWords = 4096

// permitUse is for how long after it was taken a permit is good for sending the request.
const permitUse = 500 * time.Millisecond

// Feedback is what an answer says of the replica that gave it.
type Feedback struct {
	// Backoff is for how long the replica wants nothing from this process; 0 for nothing said.
	Backoff time.Duration
	// Leaving tells that it will end as planned.
	Leaving bool
	// Limit is what it takes from all processes together.
	Limit quota.Word
	// Answered tells that the replica ran the request, and Unlimited that it would have named a
	// limit if there were one.
	Answered, Unlimited bool
}

// word is what a life of a replica said to this process, in answers or in its record. It is
// about the life, so it is kept under it, beside the record: a record may vanish and come
// again, while the replica still rests or leaves. Kept with the request that it came with,
// a word on rest would bind nobody else: replicas that turn all away have no requests, and
// are chosen first for that.
type word struct {
	// leaving lives never take anything new.
	leaving bool
	// rest is until when the replica wants nothing; zero for never.
	rest time.Time
	// restHeard is when it last asked for rest.
	restHeard time.Time
	// unproved tells that no answer has come since the replica last asked for rest.
	unproved bool
	// gone tells that the life's record went, or that another life took its place, and beat
	// how many heartbeats there had been.
	gone bool
	beat int64
	// beaten is when the last heartbeat of the life that is gone, or its record, was written at the
	// earliest.
	beaten time.Time
	// failures and until are the target's while the life has no record.
	failures int
	until    time.Time
	// limit is what it takes from all processes together.
	limit limit
	// said is when something was last said.
	said time.Time
}

// ApplyFeedback takes in what an answer says of its replica. It returns whether anything is new.
func (l *Lease) ApplyFeedback(w Feedback, now time.Time) bool {
	if w == (Feedback{}) {
		return false
	}
	t := l.table
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.says(l.target, w, l.sent, now)
	if w.Backoff <= 0 {
		return changed
	}
	known := t.wordOf(l.target, now)
	before := *known
	known.unproved, known.restHeard = true, now
	// A shorter word that comes later, as answers of several requests do, ends no longer one.
	if until := now.Add(w.Backoff); until.After(known.rest) {
		known.rest = until
	}
	return changed || !before.unproved || !before.rest.After(now)
}

// Allowed tells whether the replica may get a request now, which may have changed since it
// was chosen. One that named a limit meanwhile needs a permit; so does one whose connection
// took longer than a permit is used for.
func (l *Lease) Allowed(now time.Time) bool {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.target.barred(now) {
		return false
	}
	if !l.target.limited() || !l.permit.IsZero() && now.Sub(l.permit) < permitUse {
		return true
	}
	l.permit = now
	return l.target.word.limit.part.Take(now)
}

// wordOf returns what a target said, to be added to; called with the lock held.
func (t *Table) wordOf(x *target, now time.Time) *word {
	if x.word == nil {
		x.word = t.addWord(x.replica.Life(), now)
	}
	x.word.said = now
	return x.word
}

// addWord adds what is remembered of a life; called with the lock held.
func (t *Table) addWord(life catalog.Life, now time.Time) *word {
	t.pruneWords(now)
	w := &word{said: now}
	t.words[life] = w
	if x := t.targets[life.ID]; x != nil && x.replica.Life() == life {
		x.word = w
	}
	return w
}

// noteGone remembers a life whose record went; called with the lock held.
func (t *Table) noteGone(x *target) {
	w := t.wordOf(x, t.Clock.Now())
	w.gone, w.beat, w.beaten = true, x.replica.Beat, x.since
	if x.beat.After(w.beaten) {
		w.beaten = x.beat
	}
	w.failures, w.until = x.failures, x.until
}

// over tells whether a record is of a life that is gone, as the store has it that came back
// from an older copy, or reads from behind: no heartbeat has come since. One that lives writes
// another soon. Called with the lock held.
func (t *Table) over(r *catalog.Replica) bool {
	w := t.words[r.Life()]
	if w == nil || !w.gone {
		return false
	}
	if r.Beat > 0 && r.Beat <= w.beat {
		return true
	}
	w.gone = false
	return false
}

// recall gives a target that is registered what its life said before, and how often it failed in
// a row.
func (t *Table) recall(x *target) {
	x.word = t.words[x.replica.Life()]
	if x.word != nil {
		x.failures, x.until = x.word.failures, x.word.until
	}
}

// heedRecord takes a record's word that its life leaves for that life's own, so that it
// outlives the record; called with the lock held.
func (t *Table) heedRecord(x *target, now time.Time) {
	if x.replica.Draining {
		t.wordOf(x, now).leaving = true
	}
}

// pruneWords keeps the words bounded; called with the lock held.
func (t *Table) pruneWords(now time.Time) {
	if t.words == nil {
		t.words = map[catalog.Life]*word{}
	}
	if len(t.words) < mostWords {
		return
	}
	var first catalog.Life
	var oldest *word
	for life, w := range t.words {
		if t.targets[life.ID] != nil && t.targets[life.ID].word == w {
			continue
		}
		if !w.leaving && !w.rest.After(now) && !w.limit.holds() {
			delete(t.words, life)
			continue
		}
		if oldest == nil || w.said.Before(oldest.said) {
			first, oldest = life, w
		}
	}
	if len(t.words) >= mostWords {
		delete(t.words, first)
	}
}

// RememberedLives counts the lives whose words are remembered.
func (t *Table) RememberedLives() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.words)
}

// rests tells whether the replica wants nothing from this process now.
func (t *target) rests(now time.Time) bool { return t.word != nil && now.Before(t.word.rest) }

// barred tells whether the replica must get nothing now, whatever else there is.
func (t *target) barred(now time.Time) bool { return t.ending() || t.rests(now) }

// onTrial tells whether one request finds out whether the replica takes any again after its
// rest: all who wait would else be sent there at once, and be turned away once more.
func (t *target) onTrial() bool { return t.word != nil && t.word.unproved && t.trial }

// wake serves those who wait for replicas that may have rested meanwhile: nothing else tells
// when a rest is over. Called with the lock held.
func (t *Table) wake(now time.Time) {
	for s := range t.queues {
		rested := slices.ContainsFunc(t.services[s], func(x *target) bool { return x.word != nil && (x.word.unproved || x.limited()) })
		if rested {
			t.dismiss(s, now)
			t.serve(s, now)
		}
	}
}

// dismiss ends the waits of those who would only be told later that no replica takes
// anything before they give up; called with the lock held.
func (t *Table) dismiss(s graniteknot.Service, now time.Time) {
	if len(t.queues[s]) == 0 {
		return
	}
	q := &Query{Service: t.queues[s][0].query.Service, MaxGap: t.queues[s][0].query.MaxGap, Now: now}
	if t.bound(q, t.answers(q)) {
		t.dismissUnpermitted(s, now)
		return
	}
	rest := t.rested(q)
	if rest == 0 {
		return
	}
	t.queues[s] = slices.DeleteFunc(t.queues[s], func(x *waiter) bool {
		hopeless := now.Add(rest).After(x.wait.GiveUpAt)
		if hopeless {
			x.ready <- nil
		}
		return hopeless
	})
}

// dismissUnpermitted ends the waits of those for whom this process gets no permit in time;
// called with the lock held.
func (t *Table) dismissUnpermitted(s graniteknot.Service, now time.Time) {
	before := 0
	t.queues[s] = slices.DeleteFunc(t.queues[s], func(x *waiter) bool {
		x.query.Now = now
		if t.permitsFor(x.query, x.wait, before) {
			before++
			return false
		}
		x.ready <- nil
		return true
	})
}

// takesFrom is from when on the replica may get a request of this process, by what it said of
// rest and limits.
func (t *target) takesFrom(now time.Time) time.Time {
	switch {
	case t.rests(now):
		return t.word.rest
	case !t.permitted(now):
		return t.word.limit.part.Next(now)
	}
	return now
}

// TimeUntilAvailable returns in how long the first of a service's replicas will take a request again that
// all have asked not to be sent now; 0 where one may be chosen before, or none is left.
func (t *Table) TimeUntilAvailable(q *Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rested(q)
}

// rested is Rested; called with the lock held.
func (t *Table) rested(q *Query) time.Duration {
	var first time.Time
	for _, x := range t.services[q.Service.Name] {
		if x.ending() {
			continue
		}
		at := x.takesFrom(q.Now)
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
