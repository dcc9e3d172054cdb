package watch

import (
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// A call to the store is overdue once it exceeds its wait by the larger of minOverdueMargin
	// and overdueFactor times the recent latency.
	minOverdueMargin = 300 * time.Millisecond
	overdueFactor    = 3
	// latencyWeight is the weight of a call that is faster than the recent latency.
	latencyWeight = 0.25
)

// callState is the state of the calls on one topic.
type callState struct {
	// overdueAt is when the current call becomes overdue; zero if there is none.
	overdueAt time.Time
	// failed tells that the last call was not answered.
	failed bool
}

// BeginCall records the start of a call on a topic that waits for a record for at most wait.
func (h *Health) BeginCall(t graniteknot.Topic, now time.Time, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.calls == nil {
		h.calls = map[graniteknot.Topic]callState{}
	}
	call := h.calls[t]
	call.overdueAt = now.Add(wait + h.overdueMargin())
	h.calls[t] = call
}

// OverdueMargin returns by how much a call may exceed its wait before it is overdue.
func (h *Health) OverdueMargin() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overdueMargin()
}

// overdueMargin implements OverdueMargin. The caller holds h.mu.
func (h *Health) overdueMargin() time.Duration { return max(minOverdueMargin, overdueFactor*h.latency) }

// EndCall records the end of the call on a topic. latency is that of the answer; 0 is unknown.
func (h *Health) EndCall(t graniteknot.Topic, answered bool, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[t] = callState{failed: !answered}
	if !answered {
		h.unanswered = true
	} else if h.unanswered {
		// Other calls from before may wait for answers that were lost.
		h.unanswered = false
		if h.regained != nil {
			close(h.regained)
			h.regained = nil
		}
	}
	if latency > 0 {
		h.latency = max(latency, time.Duration((1-latencyWeight)*float64(h.latency)+latencyWeight*float64(latency)))
	}
}

// Regained returns a channel that is closed when the store answers again after an unanswered call
// of a follower with DetectLoss.
func (h *Health) Regained() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.regained == nil {
		h.regained = make(chan struct{})
	}
	return h.regained
}

// Lost reports whether the store does not answer this process: the last call on any topic was not
// answered, or one is overdue.
func (h *Health) Lost(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, call := range h.calls {
		if call.failed || !call.overdueAt.IsZero() && now.After(call.overdueAt) {
			return true
		}
	}
	return false
}
