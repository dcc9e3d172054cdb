package fleet

import "time"

// inherit gives a life what was heard since the last heartbeat of the one before it under its id.
// Which life answers shows in no answer, so it may have been the next one, whose record is read
// later. Rest and limits end by themselves or with an answer; a word on leaving would not, and
// stays the former life's. Called with the lock held.
func (t *Table) inherit(from, to *target, now time.Time) {
	w := from.word
	if w == nil {
		return
	}
	since := from.registered
	if from.beat.After(since) {
		since = from.beat
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
