package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
	"graniteknot.org/go/internal/core/fairq"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/limit"
	"graniteknot.org/go/settings"
)

// Agent guards one target. Set the exported fields before use.
//
// Lock order: Agent.mu, then the locks inside Claims, Queue and a flight.
type Agent struct {
	// Address is what services name in their targets.
	Address     graniteknot.Address
	Incarnation graniteknot.Incarnation
	Target      graniteknot.Target
	Claims      *claim.Table
	Queue       *fairq.Queue
	// Tree returns the settings in force here.
	Tree     func() *settings.Tree
	Timeline *timeline.Recorder
	// Now is time.Now when nil.
	Now graniteknot.Clock

	leaving atomic.Bool
	group   group.Group
	counts  counts

	mu sync.Mutex
	// jobs holds every request that runs or whose answer is kept.
	jobs map[claim.ID]*job
	// kept lists ended jobs in the order in which they ended.
	kept []*job
	// keptBytes is the size of the answers in kept.
	keptBytes graniteknot.Bytes
	// lowered holds the accounts whose limit was lowered under queued work.
	lowered map[limit.AccountName]*limit.Bucket

	reported atomic.Pointer[graniteknot.TargetLoad]
}

type counts struct {
	dispatched, refused, answered, broken, notRun, preempted, withdrawn atomic.Uint64
}

// Counts is what an agent did since its start.
type Counts struct {
	Dispatched, Refused, Answered, Broken, NotRun, Preempted, Withdrawn uint64
}

// Counts returns the counts.
func (a *Agent) Counts() Counts {
	c := &a.counts
	return Counts{
		Dispatched: c.dispatched.Load(), Refused: c.refused.Load(), Answered: c.answered.Load(),
		Broken: c.broken.Load(), NotRun: c.notRun.Load(), Preempted: c.preempted.Load(), Withdrawn: c.withdrawn.Load(),
	}
}

// Leave makes the agent refuse new work. What it has goes on.
func (a *Agent) Leave() { a.leaving.Store(true) }

// Leaving tells whether Leave was called.
func (a *Agent) Leaving() bool { return a.leaving.Load() }

// Drain waits until nothing runs or ctx is done; then it ends what is left,
// so that each asker is told the truth about it.
func (a *Agent) Drain(ctx context.Context) {
	done := make(chan struct{})
	var waiter group.Group
	waiter.Go(func(context.Context) {
		a.group.Wait()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	a.group.Stop()
	waiter.Wait()
}

// Report returns the load as the agent sees it now.
func (a *Agent) Report() *wire.Load {
	l := a.Queue.Load()
	out := &wire.Load{
		Incarnation: uint64(a.Incarnation),
		Queued:      int32(l.Queued),
		Running:     int32(l.Running),
		Slots:       int32(l.Slots),
		ServiceUs:   l.Service.Microseconds(),
		// While an order is given, work goes elsewhere.
		Leaving: a.Leaving() || l.Held,
	}
	if r := a.reported.Load(); r != nil {
		out.Prefixes = r.Prefixes
	}
	return out
}

// Observe takes in the target's own report.
func (a *Agent) Observe(l graniteknot.TargetLoad) { a.reported.Store(&l) }

func (a *Agent) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

func (a *Agent) note(kind timeline.Kind, d *wire.Dispatch, detail string) {
	if a.Timeline == nil {
		return
	}
	a.Timeline.Add(timeline.Event{
		Kind: kind, Request: graniteknot.RequestID(d.GetRequest()),
		Attempt: graniteknot.Attempt(d.GetAttempt()), Detail: detail,
	})
}

func (a *Agent) stamp() uint64 {
	if a.Timeline == nil {
		return 0
	}
	return uint64(a.Timeline.Clock.Now())
}

func (a *Agent) observe(clock uint64) {
	if a.Timeline != nil {
		a.Timeline.Clock.Observe(timeline.Stamp(clock))
	}
}
