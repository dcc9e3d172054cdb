package forward

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// giveUp sets the result of a request that gets no response, except for a fallback, or no confirmation that its stream is
// whole.
func (r *inflightRequest) giveUp(reason Reason) {
	if r.fallback != nil && !r.result.ResponseStarted && reason != ReasonClientGone && reason != ReasonClientUnread {
		r.writeResponse(r.fallback)
		return
	}
	if r.endAssumed && reason != ReasonClientGone && reason != ReasonClientUnread {
		if !r.endDoubtful {
			r.setAnswered(r.result.Status)
			return
		}
		reason = ReasonResponseLost
	}
	r.result.Reason = reason
	r.result.Outcome = graniteknot.OutcomeUnknown
	if !r.mayHaveRun {
		r.result.Outcome = graniteknot.OutcomeNotRun
		r.result.RetryAfter = r.retryAfter(reason)
	}
}

// retryAfter is when the client of a request that did not run may retry: if all replicas back
// off, once the first one accepts requests again, and if they are busy, not before the queued
// requests are served. One replica's backoff does not count, as the others may have capacity.
func (r *inflightRequest) retryAfter(reason Reason) time.Duration {
	q := r.query()
	if reason == ReasonRateLimited {
		return r.f.Fleet.RetryDelay(q)
	}
	rested := r.f.Fleet.TimeUntilAvailable(q)
	if reason == ReasonBusy {
		return max(rested, r.f.Fleet.QueueDrainTime(q))
	}
	return rested
}

// writeResponse forwards a complete response.
func (r *inflightRequest) writeResponse(resp *response) {
	r.recordFirstByte()
	r.result.Status = resp.status
	r.result.Reason = ReasonNone
	r.result.Outcome = graniteknot.OutcomeAnswered
	r.result.ResponseStarted = true
	if err := r.sink.WriteResponse(resp.status, resp.header, resp.body); err != nil {
		r.result.Outcome = graniteknot.OutcomeUnknown
		r.result.Reason = r.writeFailed(err)
	}
}
