package serve

import (
	"context"
	"errors"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
	"graniteknot.org/go/internal/core/flight"
	"graniteknot.org/go/internal/wire"
)

const (
	// keepNamed is how long the answer to a key that the caller named is kept
	// for those who ask again.
	keepNamed = time.Minute
	// keepUnnamed is how long an entry that lost its connection may take to
	// come back for the rest.
	keepUnnamed = 3 * time.Second
	// keepBytes bounds the answers kept after their end.
	keepBytes = 16 << 20
	// rejoinGrace is how long work that may not be repeated goes on when the
	// last reader of an unnamed request is gone.
	rejoinGrace = 2 * time.Second
)

var (
	errWithdrawn = errors.New("withdrawn")
	errAbandoned = errors.New("the caller left")
	errYield     = errors.New("the slot was borrowed")
)

// job is one request at this agent.
type job struct {
	id       claim.ID
	dispatch *wire.Dispatch
	flight   flight.Flight
	ctx      context.Context //nolint:containedctx // It is the job's own life.
	cancel   context.CancelCauseFunc
	// readers counts dispatches that follow the flight. Guarded by Agent.mu.
	readers int
	// until is when an ended job may be dropped. Guarded by Agent.mu.
	until time.Time
}

// named tells whether the caller may come again with the same key.
func (j *job) named() bool {
	c := j.dispatch.GetClaim()
	return c.GetCallersKey() && !c.GetRepeatable()
}

// begin makes the job of a request that was admitted.
func (a *Agent) begin(id claim.ID, d *wire.Dispatch) *job {
	ctx, cancel := context.WithCancelCause(a.group.Context())
	j := &job{id: id, dispatch: d, ctx: ctx, cancel: cancel, readers: 1}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs == nil {
		a.jobs = map[claim.ID]*job{}
	}
	a.jobs[id] = j
	return j
}

// join finds the job of a request that was admitted before.
func (a *Agent) join(id claim.ID) *job {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	if j != nil {
		j.readers++
	}
	return j
}

// left notes that a reader is gone, and cancels what nobody can want.
func (a *Agent) left(j *job) {
	a.mu.Lock()
	j.readers--
	idle := j.readers == 0
	a.mu.Unlock()
	if _, ended := j.flight.Ended(); ended || !idle || j.named() {
		return
	}
	if j.dispatch.GetClaim().GetRepeatable() {
		j.cancel(errAbandoned)
		return
	}
	time.AfterFunc(rejoinGrace, func() { a.cancelIdle(j) })
}

func (a *Agent) cancelIdle(j *job) {
	a.mu.Lock()
	idle := j.readers == 0
	a.mu.Unlock()
	if idle {
		j.cancel(errAbandoned)
	}
}

// keep holds on to an ended job's answer for a while, within keepBytes.
func (a *Agent) keep(j *job) {
	j.cancel(nil)
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	j.until = now.Add(keepTime(j))
	a.kept = append(a.kept, j)
	a.keptBytes += j.flight.Size()
	for len(a.kept) > 0 && (a.keptBytes > keepBytes || now.After(a.kept[0].until)) {
		a.drop(a.kept[0])
		a.kept = a.kept[1:]
	}
}

// drop is called with the lock held.
func (a *Agent) drop(j *job) {
	a.keptBytes -= j.flight.Size()
	if a.jobs[j.id] == j {
		delete(a.jobs, j.id)
	}
}

func keepTime(j *job) time.Duration {
	if j.named() {
		return keepNamed
	}
	return keepUnnamed
}

// endOf tells how a job ended to those who follow it.
func endOf(e flight.Ending) (wire.Chunk_Kind, string) {
	switch e.Outcome {
	case graniteknot.OutcomeAnswered:
		return wire.Chunk_END, ""
	case graniteknot.OutcomeNotRun:
		return wire.Chunk_NOT_RUN, e.Reason
	case graniteknot.OutcomeUnknown:
		return wire.Chunk_BROKEN, e.Reason
	}
	return wire.Chunk_BROKEN, e.Reason
}
