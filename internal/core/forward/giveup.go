package forward

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// giveUp settles a request that gets no answer of its own.
func (r *run) giveUp(why Reason) {
	if r.spare != nil && !r.result.ResponseStarted && why != ReasonClientGone {
		r.give(r.spare)
		return
	}
	r.result.Reason = why
	r.result.Outcome = graniteknot.OutcomeUnknown
	if !r.mayHaveRun {
		r.result.Outcome = graniteknot.OutcomeNotRun
		r.result.RetryAfter = r.again(why)
	}
}

// again is in how long the caller of a request that did not run may come back: as soon as a
// replica will have rested that takes requests, where all rest, and those who wait will have
// been served. What one replica asked for says nothing of the others, which may have room.
func (r *run) again(why Reason) time.Duration {
	q := r.query()
	if why == ReasonRateLimited {
		return r.f.Fleet.RetryDelay(q)
	}
	rested := r.f.Fleet.TimeUntilAvailable(q)
	if why == ReasonBusy {
		return max(rested, r.f.Fleet.QueueDrainTime(q))
	}
	return rested
}

// give passes a whole answer on.
func (r *run) give(a *reply) {
	r.first()
	r.result.Status = a.status
	r.result.Reason = ReasonNone
	r.result.Outcome = graniteknot.OutcomeAnswered
	r.result.ResponseStarted = true
	if err := r.sink.WriteResponse(a.status, a.header, a.body); err != nil {
		r.result.Outcome = graniteknot.OutcomeUnknown
		r.result.Reason = ReasonClientGone
	}
}
