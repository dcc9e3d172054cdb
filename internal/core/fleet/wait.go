package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// fewLeft is the part of what engines can answer that has to be left by those who
// can be in time for those who can't to be served in some time.
const fewLeft = 0.05

// worthWaiting tells whether a request that finds no room is to wait: it can still
// be in time behind those before it, or it will be late but served while its caller
// waits; or how much the groups bear is not known, since none runs yet or one has just
// begun to. Others are better told at once. Called with the lock held.
func (t *Table) worthWaiting(q *Query, w WaitBounds) bool {
	s := q.Service.Name
	rate := t.answers(q)
	switch {
	case rate <= 0 && q.Service.Engine != nil:
		return !t.down(s, q.Now)
	case t.bound(q, rate):
		inTime, _ := t.ahead(s, q, w)
		return t.permitsFor(q, w, inTime)
	case q.Service.Engine == nil:
		return false
	}
	if t.opening(s, q.Now) {
		return true
	}
	inTime, all := t.ahead(s, q, w)
	first := t.intake(s).first.expected()
	if start := q.Now.Add(after(inTime, rate)); start.Add(first).Before(w.FirstEventBy) {
		return true
	}
	left := rate - t.intake(s).asked.perSecond(q.Now)
	return left > fewLeft*rate && q.Now.Add(after(all, left)).Before(w.GiveUpAt)
}

// bound tells whether it is the limits of a service's replicas that bound what this process may
// send them, and not what they can answer; called with the lock held.
func (t *Table) bound(q *Query, rate float64) bool {
	perSecond, scarce := t.scarce(q.Service.Name, q.Now)
	return scarce && (q.Service.Engine == nil || perSecond < rate)
}

// permitsFor tells whether a request gets a permit by which it can be in time, behind so many
// that wait before it: this process holds one, or hears at once whether it gets one. Called
// with the lock held.
func (t *Table) permitsFor(q *Query, w WaitBounds, before int) bool {
	by := w.FirstEventBy.Add(-t.intake(q.Service.Name).first.expected())
	permits, soon := 0, false
	for _, x := range t.services[q.Service.Name] {
		if x.barred(q.Now) || !x.limited() {
			continue
		}
		permits += x.word.limit.part.By(by, q.Now)
		_, due := t.outbox.asking[x.replica.Life()]
		soon = soon || due || x.word.limit.part.Answers(q.Now)
	}
	return q.Now.Before(by) && (permits > before || soon)
}

// ahead counts those who are served before a request: those who can be in time, and
// all.
func (t *Table) ahead(s graniteknot.Service, q *Query, w WaitBounds) (inTime, all int) {
	turn := turn{event: q.Now.Add(t.intake(s).first.expected())}
	mine := &waiter{query: q, wait: w}
	for _, x := range t.queues[s] {
		if x.wait.FirstEventBy.After(turn.event) && !turn.before(mine, x) {
			inTime++
		}
		if x.query.Urgency <= q.Urgency {
			all++
		}
	}
	return inTime, all
}

// answers is how many requests a second this process may send to a service's
// engines, by how long their groups' passes took over the last seconds; 0 when none run.
func (t *Table) answers(q *Query) float64 {
	sum := 0.0
	for _, s := range t.standings(q) {
		sum += s.answers(q)
	}
	return sum / float64(max(1, t.peers))
}

// answers is how many requests a second the group answers.
func (s *standing) answers(q *Query) float64 {
	if s.usable == 0 {
		return 0
	}
	r := s.room
	if !r.assumed {
		r.factor = s.slowly(r.factor, q.Now)
	}
	n := r.writers()
	life := time.Duration(q.Service.Engine.Passes()) * r.pass(n)
	return n * s.usable / life.Seconds()
}

// after is how long so many take at a rate in a second.
func after(n int, perSecond float64) time.Duration {
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// QueueDrainTime returns in how long those who wait for a service's engines will have been
// served, as this process expects; 0 when none wait.
func (t *Table) QueueDrainTime(q *Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := len(t.queues[q.Service.Name])
	if q.Service.Engine == nil || waiting == 0 {
		return 0
	}
	rate := t.answers(q)
	left := max(rate-t.intake(q.Service.Name).asked.perSecond(q.Now), fewLeft*rate)
	if left <= 0 {
		return 0
	}
	return after(waiting, left)
}
