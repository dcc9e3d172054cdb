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
	// readings are the calls of followers that Vital is set for, and took how long the store
	// needs for an answer of late.
	readings map[graniteknot.Topic]reading
	took     time.Duration
	// missed tells that a call of one of these had no answer since the store last answered one;
	// regained is closed when it does again, nil while nobody waits for that.
	missed   bool
	regained chan struct{}
	// elsewhere is as of when another process, which had no trouble with the store, last read
	// it; renewed tells that the last return was that of an older copy.
	elsewhere time.Time
	renewed   bool
}

// RecordSuccess notes a call that the store answered.
func (h *Health) RecordSuccess(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = now
	if h.down.IsZero() {
		return
	}
	h.Log.Info("store regained", eventlog.Milliseconds("away", now.Sub(h.down)))
	h.down, h.back, h.renewed = time.Time{}, now, false
}

// RecordPeerRead notes that another process, which has had no trouble with the store of late, read
// it at a time.
func (h *Health) RecordPeerRead(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.elsewhere) {
		h.elsewhere = at
	}
}

// RecordFailure notes a call that the store did not answer, or refused. One that began
// before the store last answered, as a read that waits for long does, tells
// nothing new.
func (h *Health) RecordFailure(began time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down.IsZero() || began.Before(h.answered) {
		return
	}
	h.down = began
	h.Log.Warn("store lost", slog.String("error", err.Error()))
}

// RecordRestore notes that a topic was found in a new era of the store, which counts as its return
// from an outage: records that the copy has not may be written again. The position is where
// the former era was read to.
func (h *Health) RecordRestore(t graniteknot.Topic, read graniteknot.Position, era graniteknot.Era, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.back, h.renewed = now, true
	h.renewals++
	h.Log.Warn("store renewed", slog.String("topic", string(t)), slog.Int64("era", int64(era)), slog.String("read_to", read.String()))
}

// Restores counts how often a topic was found in a new era of the store.
func (h *Health) Restores() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewals
}

// recently is how long before the store's return another process may have read it last for the
// trouble to have been this process's own: about the time between two reads.
const recently = 1500 * time.Millisecond

// RecentOutage tells whether the store is away, or was within the given time. Where it only turned
// this process away it was not: who takes its own trouble for the store's keeps what others know
// to be gone, and in a large deployment tells it to those that go by its word.
func (h *Health) RecentOutage(now time.Time, within time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down.IsZero() {
		return true
	}
	own := !h.renewed && h.elsewhere.After(h.back.Add(-recently))
	return !h.back.IsZero() && now.Sub(h.back) < within && !own
}

// UpSince returns when the store answered again after the last outage; false while
// it is away.
func (h *Health) UpSince() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.back, h.down.IsZero()
}
