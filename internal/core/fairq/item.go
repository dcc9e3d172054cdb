package fairq

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// Item is a request for a slot.
type Item struct {
	Partner graniteknot.Partner
	// Flow is what shares are equal between inside a partner.
	Flow     Flow
	Priority graniteknot.Priority
	// Cost is the estimated size; it need not be exact.
	Cost graniteknot.Tokens
	// Yields tells that the work can be cancelled and resumed.
	Yields bool
	// Resumed work goes before the queue of its flow.
	Resumed bool
	// Deadline refuses work whose expected wait passes it; zero for none.
	Deadline time.Time
}

// Flow names a service and client account.
type Flow struct {
	Service graniteknot.Service
	Account graniteknot.Account
}

// Slot is the right to run at the target. Release it once.
type Slot struct {
	queue *Queue
	item  Item
	// started orders slots by age.
	started uint64
	// begun is when the slot was granted.
	begun time.Time
	// yield is closed when the slot is wanted back.
	yield   chan struct{}
	yielded bool
}

// Yield is closed when the partner that the slot was borrowed from wants it.
func (s *Slot) Yield() <-chan struct{} { return s.yield }

// waiter is an item in the queue.
type waiter struct {
	item Item
	// tag is the virtual start time within the partner.
	tag float64
	// sequence breaks ties in the order of arrival.
	sequence uint64
	granted  chan *Slot
}

// before is the order inside a partner.
func (w *waiter) before(o *waiter) bool {
	if w.item.Resumed != o.item.Resumed {
		return w.item.Resumed
	}
	if w.item.Priority != o.item.Priority {
		return w.item.Priority > o.item.Priority
	}
	if w.tag < o.tag || o.tag < w.tag {
		return w.tag < o.tag
	}
	return w.sequence < o.sequence
}

// waiters is a heap of a partner's waiting items, first served on top.
type waiters []*waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waiters) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *waiters) Push(x any) { *h = append(*h, x.(*waiter)) } //nolint:forcetypeassert // Only Queue pushes.

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
