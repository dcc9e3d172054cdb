package watch

import (
	"cmp"
	"log/slog"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
)

// Health tracks whether the store is available to this process. Set Log; the other fields need
// no initialization.
type Health struct {
	Log *eventlog.Log
	// PeerReadWindow is how long before the end of an outage a read by another process shows that
	// only this process was affected: the longest time between two such reads as this process
	// hears of them. Zero stands for defaultPeerReadWindow.
	PeerReadWindow time.Duration

	mu sync.Mutex
	// downSince is the start of the first failed call of the current outage; zero while the
	// store is available. noticedAt is when that call had failed.
	downSince, noticedAt time.Time
	// lastDownSince is the downSince of the last outage, and upSince its end.
	lastDownSince, upSince time.Time
	// provedLocal tells that the last outage is known to have affected only this process.
	provedLocal bool
	// restores counts the times that a topic was found in a new era.
	restores uint64
	// lastAnswered is when the store last answered, and lastRead the start of the latest call that it
	// answered. steadySince is the start of the first of the answered calls before it that left no
	// gap of maxCallGap and no unanswered call between them.
	lastAnswered, lastRead, steadySince time.Time
	// lastUnanswered is the end of the last call that was refused, failed or overdue.
	lastUnanswered time.Time
	// suspected is an outage that may have been.
	suspected suspicion
	// calls are the calls of followers with DetectLoss, and latency is the recent latency of
	// the store.
	calls   map[graniteknot.Topic]callState
	latency time.Duration
	// unanswered tells that one of these calls failed and none was answered since. regained is
	// closed when one is; nil if nothing waits for that.
	unanswered bool
	regained   chan struct{}
	// peerReadAt is the time of the last known read by another process to which the store was
	// available; restored tells that the last outage was a restore from an older copy.
	peerReadAt time.Time
	restored   bool
}

// maxCallGap is the longest time without a call to the store after which this process still counts as
// one that would have noticed an outage.
const maxCallGap = 1500 * time.Millisecond

// RecordSuccess records a call that began at a time and that the store has answered.
func (h *Health) RecordSuccess(began, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastAnswered.IsZero() || began.Sub(h.lastAnswered) > maxCallGap || h.lastUnanswered.After(h.steadySince) {
		h.steadySince = began
	}
	h.lastAnswered = now
	if began.After(h.lastRead) {
		h.lastRead = began
	}
	if h.downSince.IsZero() {
		h.suspected.end(now)
		return
	}
	h.Log.Info("store regained", eventlog.Milliseconds("away", now.Sub(h.downSince)))
	h.downSince, h.upSince, h.restored = time.Time{}, now, false
}

// RecordPeerRead records that another process, without recent trouble with the store, read it at
// a time.
func (h *Health) RecordPeerRead(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.peerReadAt) {
		h.peerReadAt = at
	}
}

// RecordFailure records a call that the store refused or did not answer by now. A call that began
// before the store last answered, such as a long poll, is ignored.
func (h *Health) RecordFailure(began, now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastUnanswered = now
	if !h.downSince.IsZero() || began.Before(h.lastAnswered) {
		return
	}
	h.downSince, h.lastDownSince, h.noticedAt, h.provedLocal = began, began, now, false
	h.suspected = suspicion{}
	h.Log.Warn("store lost", slog.String("error", err.Error()))
}

// RecordUnconfirmed records that other processes, which read the store for this one, have not confirmed
// what they read since a time: the store may be unavailable until this process has called it.
func (h *Health) RecordUnconfirmed(since, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.downSince.IsZero() {
		h.downSince, h.lastDownSince, h.noticedAt, h.provedLocal = since, since, since, false
		h.Log.Warn("store unconfirmed", eventlog.Milliseconds("unconfirmed", now.Sub(since)))
	}
}

// RecordOverdue records a call that was cancelled because its answer was overdue, and that is retried.
func (h *Health) RecordOverdue(began, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastUnanswered = now
	if h.downSince.IsZero() && !began.Before(h.lastAnswered) {
		h.suspected = suspicion{since: began, noticedAt: now}
	}
}

// RecordRestore records that a topic was found in a new era of the store: the store was restored
// from an older copy. That counts as the end of an outage, since records that the copy lacks may
// be rewritten. readTo is the position to which the former era was read.
func (h *Health) RecordRestore(t graniteknot.Topic, readTo graniteknot.Position, era graniteknot.Era, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.upSince, h.restored, h.provedLocal = now, true, false
	h.restores++
	h.Log.Warn("store renewed", slog.String("topic", string(t)), slog.Int64("era", int64(era)), slog.String("read_to", readTo.String()))
}

// Restores returns how often a topic was found in a new era of the store.
func (h *Health) Restores() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restores
}

// defaultPeerReadWindow covers reads that follow each other within a second.
const defaultPeerReadWindow = 1500 * time.Millisecond

// RecentOutage reports whether the store is unavailable or had an outage that ended within a
// duration. Past outages that affected only this process don't count: a process that took them
// for the store's would keep replicas that others know to be gone and, as a reader in a large
// deployment, report them to others. Another process has to have read the store since this one
// noticed the outage: an outage of the store may be shorter than the window.
func (h *Health) RecentOutage(now time.Time, within time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.downSince.IsZero() {
		return true
	}
	return !h.upSince.IsZero() && now.Sub(h.upSince) < within && !h.localOutage()
}

// localOutage reports whether the last outage affected only this process. The caller holds h.mu.
func (h *Health) localOutage() bool {
	window := cmp.Or(h.PeerReadWindow, defaultPeerReadWindow)
	return h.provedLocal || !h.restored && h.peerReadAt.After(h.noticedAt) && h.peerReadAt.After(h.upSince.Add(-window))
}

// LogFields describe the last outage: for how long the store was unavailable after the first failed
// call began, how long ago that call had failed and the outage ended, and how long ago another
// process is known to have read the store; 0 if never.
func (h *Health) LogFields(now time.Time) []slog.Attr {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := func(t time.Time) time.Duration {
		if t.IsZero() {
			return 0
		}
		return now.Sub(t)
	}
	return []slog.Attr{
		eventlog.Milliseconds("away", h.upSince.Sub(h.lastDownSince)), eventlog.Milliseconds("noticed_ago", since(h.noticedAt)),
		eventlog.Milliseconds("regained_ago", since(h.upSince)), eventlog.Milliseconds("peer_read_ago", since(h.peerReadAt)),
		slog.Bool("restored", h.restored),
	}
}

// UpSince returns the end of the last outage, and false while the store is unavailable.
func (h *Health) UpSince() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.upSince, h.downSince.IsZero()
}
