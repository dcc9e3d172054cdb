package watch

import (
	"log/slog"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
)

// Health knows whether the store answers this process. Set Log; the zero rest
// works.
type Health struct {
	Log *eventlog.Log

	mu sync.Mutex
	// down is when the first call of the present outage began; zero while the
	// store answers.
	down time.Time
	// back is when the store answered again after the last outage.
	back time.Time
	// renewals counts topics found in a new era.
	renewals uint64
	// answered is when the store answered last.
	answered time.Time
}

// Good notes a call that the store answered.
func (h *Health) Good(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = now
	if h.down.IsZero() {
		return
	}
	h.Log.Info("store regained", eventlog.Milliseconds("away", now.Sub(h.down)))
	h.down, h.back = time.Time{}, now
}

// Bad notes a call that the store did not answer, or refused. One that began
// before the store last answered, as a read that waits for long does, tells
// nothing new.
func (h *Health) Bad(began time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down.IsZero() || began.Before(h.answered) {
		return
	}
	h.down = began
	h.Log.Warn("store lost", slog.String("error", err.Error()))
}

// Renewed notes that a topic was found in a new era of the store, which counts as its return
// from an outage: records that the copy has not may be written again. The position is where
// the former era was read to.
func (h *Health) Renewed(t graniteknot.Topic, read graniteknot.Position, era graniteknot.Era, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.back = now
	h.renewals++
	h.Log.Warn("store renewed", slog.String("topic", string(t)), slog.Int64("era", int64(era)), slog.String("read_to", read.String()))
}

// Renewals counts how often a topic was found in a new era of the store.
func (h *Health) Renewals() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewals
}

// Doubtful tells whether the store is away, or was within the given time.
func (h *Health) Doubtful(now time.Time, within time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down.IsZero() || !h.back.IsZero() && now.Sub(h.back) < within
}

// Back returns when the store answered again after the last outage; false while
// it is away.
func (h *Health) Back() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.back, h.down.IsZero()
}
