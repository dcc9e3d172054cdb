package fairq

import (
	"fmt"
	"time"

	graniteknot "graniteknot.org/go"
)

// refuse tells early what can't be served in time.
func (q *Queue) refuse(item Item) error {
	if item.Resumed {
		return nil
	}
	// Each partner's own: a burst of one must not use up the other's room.
	if n := len(q.partner(item.Partner).waiting); n >= q.limit() {
		return &Error{Op: "acquire", Kind: KindOverload, Err: fmt.Errorf("%d items wait", n)}
	}
	if item.Deadline.IsZero() {
		return nil
	}
	wait := q.expected(item)
	if q.now().Add(wait + q.serviceTime()).After(item.Deadline) {
		return &Error{Op: "acquire", Kind: KindOverload, Err: fmt.Errorf("expected wait %s", wait.Round(time.Millisecond))}
	}
	return nil
}

// expected estimates the wait of a new item: what its partner has before it,
// over the slots that its share gives it while the others want theirs.
func (q *Queue) expected(item Item) time.Duration {
	if len(q.running) < q.Slots {
		return 0
	}
	ahead := 0
	for _, w := range q.partner(item.Partner).waiting {
		if w.item.Priority >= item.Priority {
			ahead++
		}
	}
	slots := max(q.entitled(item.Partner), 1)
	return time.Duration(q.service * float64(ahead+1) / slots * float64(time.Second))
}

// entitled is the number of slots that a partner's share gives it among the
// partners that hold or want slots.
func (q *Queue) entitled(name graniteknot.Partner) float64 {
	total := q.share(name)
	for other, p := range q.partners {
		if other != q.name(name) && (p.running > 0 || len(p.waiting) > 0) {
			total += q.share(other)
		}
	}
	return float64(q.Slots) * q.share(name) / total
}
