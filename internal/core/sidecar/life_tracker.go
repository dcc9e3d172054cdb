package sidecar

import (
	"context"
	"log/slog"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/eventlog"
)

// Named is a target that returns its id. Ranks may implement it.
type Named interface {
	// ID returns the id, or after an error how long the target asks not to be called again; 0 if it
	// does not say.
	ID(ctx context.Context) (id catalog.ReplicaID, backoff time.Duration, err error)
}

// idRetryInterval is the interval between two calls to a target that did not return its id.
const idRetryInterval = 500 * time.Millisecond

// lifeTracker tracks which life of the target responds. A call for the id costs as much as a health
// check, so there is one for each life. The zero value is ready to use.
type lifeTracker struct {
	mark  catalog.Mark
	asked time.Time
	// backoffUntil is when a target that rejected the call may be called again.
	backoffUntil time.Time
	// warmup is what the life stated about its warm-up.
	warmup pendingWarmup
	// last is the previous report.
	last held.Report
}

// observe returns the mark of the life that made a report; 0 is unknown. A different start time shows
// another life. Without start times a broken group or a lower pass number may do so: the end of a rank
// breaks its group.
func (w *lifeTracker) observe(ctx context.Context, s *Sidecar, report *held.Report, now time.Time) catalog.Mark {
	state, last := report.State, w.last.State
	if report.StartTime != w.last.StartTime || state.Step < last.Step || !state.GroupRunning && last.GroupRunning {
		w.reset()
	}
	w.last = *report
	named, ok := s.own.(Named)
	if !ok || w.mark != 0 || now.Sub(w.asked) < idRetryInterval || now.Before(w.backoffUntil) {
		return w.mark
	}
	id, backoff, err := named.ID(ctx)
	w.asked, w.backoffUntil = now, now.Add(backoff)
	if err != nil {
		s.Log.Info("target life", slog.String("error", err.Error()), eventlog.Milliseconds("rest_asked", backoff))
		return 0
	}
	life := catalog.Life{ID: id, Born: report.StartTime}
	w.mark = life.Mark()
	w.recordWarmup(s, life, now)
	s.Log.Info("target life", slog.String("replica", life.String()))
	return w.mark
}

// reset records that the target may have another life.
func (w *lifeTracker) reset() { w.mark, w.asked = 0, time.Time{} }
