package watch

import (
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// leastOverdue is how long after its time a call to the store counts as overdue at least,
	// and overdueTimes the same in times of what the store's answers take of late.
	leastOverdue = 300 * time.Millisecond
	overdueTimes = 3
	// tookWeight is the part of the last answer in what they take of late.
	tookWeight = 0.25
)

// reading is what is known of the calls on one topic.
type reading struct {
	// due is when the answer to the call under way is overdue; zero where none is.
	due time.Time
	// failed tells that the last call had no answer.
	failed bool
}

// BeginCall notes that a call on a topic begins, which waits for a record for at most a time.
func (h *Health) BeginCall(t graniteknot.Topic, now time.Time, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.readings == nil {
		h.readings = map[graniteknot.Topic]reading{}
	}
	x := h.readings[t]
	x.due = now.Add(wait + h.margin())
	h.readings[t] = x
}

// OverdueMargin returns how long after its time a call counts as overdue.
func (h *Health) OverdueMargin() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.margin()
}

// margin is called with the lock held.
func (h *Health) margin() time.Duration { return max(leastOverdue, overdueTimes*h.took) }

// EndCall notes that the call on a topic has ended. Took is how long the store needed for its
// answer; 0 where that can't be told.
func (h *Health) EndCall(t graniteknot.Topic, answered bool, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings[t] = reading{failed: !answered}
	if !answered {
		h.missed = true
	} else if h.missed {
		// Other calls of that time may wait for answers that do not come.
		h.missed = false
		if h.regained != nil {
			close(h.regained)
			h.regained = nil
		}
	}
	if took > 0 {
		h.took = max(took, time.Duration((1-tookWeight)*float64(h.took)+tookWeight*float64(took)))
	}
}

// Regained returns a channel that is closed when the store answers again after a call of a
// vital topic had no answer.
func (h *Health) Regained() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.regained == nil {
		h.regained = make(chan struct{})
	}
	return h.regained
}

// Lost tells whether the store does not answer this process: the last call on a topic had no
// answer, or one is overdue.
func (h *Health) Lost(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.readings {
		if x.failed || !x.due.IsZero() && now.After(x.due) {
			return true
		}
	}
	return false
}
