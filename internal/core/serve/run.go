package serve

import (
	"context"
	"errors"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/fairq"
	"graniteknot.org/go/internal/core/flight"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/wire"
)

// run takes a claimed job through the queue and the target to its end.
func (a *Agent) run(j *job) {
	ending := a.serve(j)
	a.count(ending.Outcome)
	a.note(endKind(ending.Outcome), j.dispatch, ending.Reason)
	j.flight.End(ending)
	a.keep(j)
}

// serve runs a job, again from where it was each time its slot is taken back.
func (a *Agent) serve(j *job) flight.Ending {
	started := false
	for {
		slot, err := a.Queue.Acquire(j.ctx, a.item(j, started))
		if err != nil {
			return a.unserved(j, started, err)
		}
		if !started {
			if reason := a.start(j); reason != "" {
				slot.Release()
				return flight.Ending{Outcome: graniteknot.OutcomeNotRun, Reason: reason}
			}
			started = true
		}
		err = a.runOnce(j, slot)
		slot.Release()
		if !errors.Is(err, errYield) {
			return a.finish(j, err)
		}
		a.counts.preempted.Add(1)
		a.note(timeline.KindPreempted, j.dispatch, "")
	}
}

// start is the last moment at which a request can be refused. The reason is
// empty when it starts.
func (a *Agent) start(j *job) string {
	reason := a.assigned(j.dispatch.GetClaim())
	if reason == "" {
		reason = a.overLowered(j.dispatch)
	}
	if reason != "" {
		a.Claims.Withdraw(a.now(), claimRequest(j.dispatch.GetClaim()))
		return reason
	}
	if !a.Claims.Start(j.id, j.dispatch.GetClaim().GetTry()) {
		return errWithdrawn.Error()
	}
	a.note(timeline.KindStarted, j.dispatch, "")
	return ""
}

// unserved ends a job that got no slot.
func (a *Agent) unserved(j *job, started bool, err error) flight.Ending {
	if started {
		return a.finish(j, err)
	}
	a.Claims.Withdraw(a.now(), claimRequest(j.dispatch.GetClaim()))
	if cause := context.Cause(j.ctx); cause != nil {
		err = cause
	}
	return flight.Ending{Outcome: graniteknot.OutcomeNotRun, Reason: err.Error()}
}

// finish notes how the target's work ended.
func (a *Agent) finish(j *job, err error) flight.Ending {
	e := flight.Ending{Outcome: graniteknot.OutcomeUnknown}
	switch {
	case err == nil:
		e.Outcome = graniteknot.OutcomeAnswered
	case errors.Is(err, graniteknot.ErrNotHandedOver) && j.flight.Len() == 0:
		e.Outcome = graniteknot.OutcomeNotRun
	}
	if err != nil {
		e.Reason = a.reason(e.Outcome, err)
	}
	a.Claims.Finish(j.id, e.Outcome)
	return e
}

// reason says why work has no answer. An entry that hears that the target ended under it
// counts that for the request.
func (a *Agent) reason(o graniteknot.Outcome, err error) string {
	teller, tells := a.Target.(graniteknot.EndTeller)
	if o == graniteknot.OutcomeUnknown && tells && teller.Ended(a.group.Context()) {
		return graniteknot.ReasonTargetEnded + ": " + err.Error()
	}
	return err.Error()
}

// runOnce hands the job to the target until it ends or the slot is wanted.
func (a *Agent) runOnce(j *job, slot *fairq.Slot) error {
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	watch := make(chan struct{})
	defer close(watch)
	a.group.Go(func(context.Context) {
		select {
		case <-slot.Yield():
			cancel(errYield)
		case <-watch:
		}
	})
	ctx, stop := context.WithDeadline(ctx, until(j.dispatch, a.now()))
	defer stop()
	err := a.Target.Run(ctx, a.work(j), j.flight.Append)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// until is the time to stop at, by the clock of the entry; what clocks differ
// by is small against a deadline.
func until(d *wire.Dispatch, now time.Time) time.Time {
	if ms := d.GetClaim().GetUntilMs(); ms != 0 {
		return time.UnixMilli(ms)
	}
	return now.Add(time.Hour)
}

func (a *Agent) work(j *job) graniteknot.Work {
	d := j.dispatch
	w := graniteknot.Work{
		Request:     graniteknot.RequestID(d.GetRequest()),
		Service:     graniteknot.Service(d.GetClaim().GetService()),
		Priority:    graniteknot.Priority(d.GetPriority()),
		Body:        d.GetBody(),
		ResumeAfter: graniteknot.Tokens(d.GetResumeAfter()) + graniteknot.Tokens(j.flight.Len()),
		Method:      d.GetMethod(),
		Path:        d.GetPath(),
	}
	if w.Method != "" {
		w.Header = headerOf(d.GetHeader())
		w.ResumeAfter = 0
	}
	return w
}

func (a *Agent) item(j *job, resumed bool) fairq.Item {
	d := j.dispatch
	c := d.GetClaim()
	return fairq.Item{
		Partner: graniteknot.Partner(c.GetPartner()),
		Flow: fairq.Flow{
			Service: graniteknot.Service(c.GetService()), Account: graniteknot.Account(c.GetAccount()),
		},
		Priority: graniteknot.Priority(d.GetPriority()),
		Cost:     graniteknot.Tokens(d.GetCost()),
		Yields:   c.GetRepeatable() && d.GetMethod() == "",
		Resumed:  resumed,
		Deadline: until(d, a.now()),
	}
}

func (a *Agent) count(o graniteknot.Outcome) {
	switch o {
	case graniteknot.OutcomeAnswered:
		a.counts.answered.Add(1)
	case graniteknot.OutcomeNotRun:
		a.counts.notRun.Add(1)
	case graniteknot.OutcomeUnknown:
		a.counts.broken.Add(1)
	}
}

func endKind(o graniteknot.Outcome) timeline.Kind {
	switch o {
	case graniteknot.OutcomeAnswered:
		return timeline.KindFinished
	case graniteknot.OutcomeNotRun:
		return timeline.KindRefused
	case graniteknot.OutcomeUnknown:
		return timeline.KindBroken
	}
	return timeline.KindBroken
}
