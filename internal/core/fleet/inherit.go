package fleet

import "time"

// inheritFor is for how long what a former life's requests heard may be the next one's word.
const inheritFor = 10 * time.Second

// inherit gives a life what was heard since the last heartbeat of the one before it under its id.
// Which life answers shows in no answer, so it may have been the next one, whose record is read
// later. Rest and limits end by themselves or with an answer; a word on leaving would not, and
// stays the former life's. Called with the lock held.
func (t *Table) inherit(to *target, now time.Time) {
	for life, w := range t.words {
		if life.ID == to.replica.ID && life.Born != to.replica.Born && w.gone {
			t.handOver(w, to, now)
		}
	}
}

// handOver gives a life what another one said that is gone; called with the lock held.
func (t *Table) handOver(w *word, to *target, now time.Time) {
	since := w.beaten
	if earliest := now.Add(-inheritFor); earliest.After(since) {
		since = earliest
	}
	rests := w.rest.After(now) && w.restHeard.After(since)
	named := w.limit.named && w.limit.as.After(since)
	shed := w.limit.shed.asked && w.limit.shed.as.After(since)
	if !rests && !named && !shed {
		return
	}
	next := t.wordOf(to, now)
	if rests && w.rest.After(next.rest) {
		next.rest, next.restHeard, next.unproved = w.rest, w.restHeard, true
	}
	if named && w.limit.as.After(next.limit.as) {
		next.limit.named, next.limit.rate, next.limit.as = true, w.limit.rate, w.limit.as
	}
	if shed && w.limit.shed.as.After(next.limit.shed.as) {
		next.limit.shed = w.limit.shed
	}
	next.limit.settle()
}
