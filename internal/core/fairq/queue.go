package fairq

import (
	"container/heap"
	"context"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// DefaultLimit bounds the items of one partner that wait at one target.
	DefaultLimit = 4096
	// defaultShare is the weight of a partner without a share.
	defaultShare = 1
	// smoothing is the weight of a new service time in the mean.
	smoothing = 0.1
)

// Queue shares the slots of one target. Its zero value has no slots; set
// Slots before use. Queue is safe for use by several goroutines.
type Queue struct {
	// Slots is how many items run at once.
	Slots int
	// Limit bounds each partner's waiting items; DefaultLimit when zero.
	Limit int
	// Share returns a partner's weight; nil gives all the same.
	Share func(graniteknot.Partner) int64
	// NoIsolation serves all partners as one, for the baseline of benchmarks.
	NoIsolation bool
	// Now is time.Now when nil.
	Now graniteknot.Clock

	mu       sync.Mutex
	partners map[graniteknot.Partner]*partner
	// running holds the granted slots, at most Slots of them.
	running map[*Slot]struct{}
	queued  int
	// held stops slots from being given away.
	held    bool
	counter uint64
	// service is the smoothed time that a slot is held, in seconds.
	service float64
	stats   Stats
}

// partner is one partner's part of the queue.
type partner struct {
	waiting waiters
	running int
	// yielding counts running slots that were asked to yield.
	yielding int
	// virtual is the tag of the item served last.
	virtual float64
	// finish holds, for each flow that waits or ran, the tag where its next
	// item starts. It is emptied when the partner is idle.
	finish map[Flow]float64
}

// Stats counts what the queue did.
type Stats struct {
	Granted, Overloaded, Gone, Yielded uint64
}

// Load is how full the queue is.
type Load struct {
	Queued, Running, Slots int
	// Held tells that no slots are given away for now.
	Held bool
	// Service is the smoothed time that a slot is held.
	Service time.Duration
}

// Acquire waits for a slot. The error is of type *Error.
func (q *Queue) Acquire(ctx context.Context, item Item) (*Slot, error) {
	w, err := q.enqueue(item)
	if err != nil {
		return nil, err
	}
	select {
	case s := <-w.granted:
		if s == nil {
			return nil, &Error{Op: "acquire", Kind: KindOverload, Err: errTooLate}
		}
		return s, nil
	case <-ctx.Done():
		return nil, q.leave(w, ctx.Err())
	}
}

func (q *Queue) enqueue(item Item) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.refuse(item); err != nil {
		q.stats.Overloaded++
		return nil, err
	}
	p := q.partner(item.Partner)
	q.counter++
	w := &waiter{item: item, sequence: q.counter, granted: make(chan *Slot, 1)}
	w.tag = max(p.virtual, p.finish[item.Flow])
	p.finish[item.Flow] = w.tag + float64(max(item.Cost, 1))
	heap.Push(&p.waiting, w)
	q.queued++
	q.grant()
	q.reclaim()
	return w, nil
}

// grant gives free slots away. It is called with the lock held.
func (q *Queue) grant() {
	for len(q.running) < q.Slots && !q.held {
		p := q.neediest()
		if p == nil {
			return
		}
		w, _ := heap.Pop(&p.waiting).(*waiter)
		q.queued--
		if q.tooLate(w) {
			q.stats.Overloaded++
			w.granted <- nil
			continue
		}
		p.virtual = max(p.virtual, w.tag)
		p.running++
		q.counter++
		s := &Slot{queue: q, item: w.item, started: q.counter, begun: q.now(), yield: make(chan struct{})}
		if q.running == nil {
			q.running = map[*Slot]struct{}{}
		}
		q.running[s] = struct{}{}
		q.stats.Granted++
		w.granted <- s
	}
}

// tooLate tells whether an item would hold a slot only to be cut off at its
// deadline.
func (q *Queue) tooLate(w *waiter) bool {
	if w.item.Resumed || w.item.Deadline.IsZero() {
		return false
	}
	return q.now().Add(q.serviceTime()).After(w.item.Deadline)
}

func (q *Queue) serviceTime() time.Duration { return time.Duration(q.service * float64(time.Second)) }

// neediest returns the waiting partner that holds the fewest slots for its
// share; nil when nobody waits.
func (q *Queue) neediest() *partner {
	var best *partner
	var bestName graniteknot.Partner
	var bestUse float64
	for name, p := range q.partners {
		if len(p.waiting) == 0 {
			continue
		}
		use := float64(p.running) / q.share(name)
		if best == nil || use < bestUse || use <= bestUse && name < bestName {
			best, bestName, bestUse = p, name, use
		}
	}
	return best
}

// Release gives the slot back.
func (s *Slot) Release() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, held := q.running[s]; !held {
		return
	}
	delete(q.running, s)
	p := q.partner(s.item.Partner)
	p.running--
	if s.yielded {
		p.yielding--
	} else {
		q.observe(q.now().Sub(s.begun))
	}
	q.grant()
	q.idle(s.item.Partner)
}

// observe takes in how long a slot was held.
func (q *Queue) observe(held time.Duration) {
	if q.service == 0 {
		q.service = held.Seconds()
		return
	}
	q.service += smoothing * (held.Seconds() - q.service)
}

// idle drops the tags of a partner that has nothing, so that they stay few.
func (q *Queue) idle(name graniteknot.Partner) {
	p := q.partner(name)
	if p.running == 0 && len(p.waiting) == 0 {
		clear(p.finish)
		p.virtual = 0
	}
}

// leave takes a waiter out; a slot that was granted meanwhile is given back.
func (q *Queue) leave(w *waiter, cause error) error {
	// A nil slot was a refusal.
	if s := q.remove(w); s != nil {
		s.Release()
	}
	return &Error{Op: "acquire", Kind: KindGone, Err: cause}
}

func (q *Queue) remove(w *waiter) *Slot {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.Gone++
	p := q.partner(w.item.Partner)
	for i, other := range p.waiting {
		if other == w {
			heap.Remove(&p.waiting, i)
			q.queued--
			return nil
		}
	}
	return <-w.granted
}

// Hold stops slots from being given away, or lets them be given again. What
// waits goes on waiting; what can't be served in time is refused as ever.
func (q *Queue) Hold(held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held = held
	q.grant()
}

// Running returns how many slots are taken.
func (q *Queue) Running() int { return q.Load().Running }

// Load returns how full the queue is.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{
		Queued: q.queued, Running: len(q.running), Slots: q.Slots, Held: q.held,
		Service: q.serviceTime(),
	}
}

// Stats returns the counts.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stats
}

func (q *Queue) name(p graniteknot.Partner) graniteknot.Partner {
	if q.NoIsolation {
		return ""
	}
	return p
}

func (q *Queue) partner(name graniteknot.Partner) *partner {
	name = q.name(name)
	p, ok := q.partners[name]
	if !ok {
		if q.partners == nil {
			q.partners = map[graniteknot.Partner]*partner{}
		}
		p = &partner{finish: map[Flow]float64{}}
		q.partners[name] = p
	}
	return p
}

func (q *Queue) share(name graniteknot.Partner) float64 {
	if q.Share == nil || q.NoIsolation {
		return defaultShare
	}
	return float64(max(q.Share(name), defaultShare))
}

func (q *Queue) limit() int {
	if q.Limit > 0 {
		return q.Limit
	}
	return DefaultLimit
}

func (q *Queue) now() time.Time {
	if q.Now != nil {
		return q.Now()
	}
	return time.Now()
}
