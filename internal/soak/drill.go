package soak

import (
	"context"
	"net/http"
	"time"

	"graniteknot.org/go/internal/standin/keyed"
)

const (
	// drillInterval is the mean time between taking a copy and restoring it; the actual time is half
	// of it to one and a half times as long.
	drillInterval = 2 * time.Second
	// drillOutage is the longest outage of the store during a drill. drillRewrite is the longest time
	// until operators and replicas have rewritten what the copy lacks.
	drillOutage  = 500 * time.Millisecond
	drillRewrite = 1500 * time.Millisecond
	// drillsStream is the random stream for drills.
	drillsStream = feedbackStream + 1
)

// drills restores the store from older copies of itself until ctx is done.
func (w *world) drills(ctx context.Context, gateways []*process, choose func(int) int) {
	upTo := func(d time.Duration) time.Duration { return time.Duration(choose(int(d))) }
	for ctx.Err() == nil {
		if choose(2) == 0 {
			w.leaveAfterDrill(ctx, gateways)
			continue
		}
		snapshot := w.store.Records.Copy()
		wait(ctx, drillInterval/2+upTo(drillInterval))
		for _, g := range gateways {
			g.noteStoreLoss(drillOutage + drillRewrite)
		}
		w.store.Answer(http.StatusServiceUnavailable)
		wait(ctx, upTo(drillOutage))
		w.restore(snapshot)
		w.store.Answer(0)
		wait(ctx, upTo(drillRewrite))
		w.rewrite()
	}
}

// lostHeartbeats is how many heartbeats of each replica the copy lacks, so that records written after
// the restore get positions below those that gateways had read up to.
const lostHeartbeats = 20

// leaveAfterDrill restores the store from an older copy and then lets a replica leave. A gateway that
// continued to read at its former position would miss that, since no later replica records follow
// until the check.
func (w *world) leaveAfterDrill(ctx context.Context, gateways []*process) {
	snapshot := w.store.Records.Copy()
	for range lostHeartbeats {
		w.rewrite()
	}
	// All gateways have read these by then.
	wait(ctx, drillInterval)
	for _, g := range gateways {
		g.noteStoreLoss(drillOutage)
	}
	w.store.Answer(http.StatusServiceUnavailable)
	wait(ctx, drillOutage/2)
	w.restore(snapshot)
	w.store.Answer(0)
	wait(ctx, drillRewrite/2)
	// The operator rewrites its records at once, as after each drill.
	w.mu.Lock()
	w.putEvacuations()
	w.putConfig()
	w.mu.Unlock()
	if w.replace() == nil {
		wait(ctx, drainTime+slack+drillInterval)
	}
	w.rewrite()
}

// restore restores the store from a copy.
func (w *world) restore(snapshot *keyed.Copy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restartEvacuations()
	w.store.Records.Restore(snapshot)
}

// rewrite lets operators and replicas rewrite their records.
func (w *world) rewrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putEvacuations()
	w.putConfig()
	for _, s := range w.all {
		select {
		case <-s.Ended():
			continue
		default:
		}
		w.put(s.ID, s.record(!s.leaving.IsZero()))
	}
}
