package forward

import "time"

// forwardBy returns until when the request may be forwarded; zero for no bound. A stream that has begun may go on,
// since its client has a part of it already.
func (r *inflightRequest) forwardBy() time.Time {
	if r.f.ForwardBy == nil || r.result.ResponseStarted {
		return time.Time{}
	}
	return r.f.ForwardBy(r.request.RespondBy)
}

// tooLate reports whether the request may no longer be forwarded.
func (r *inflightRequest) tooLate() bool {
	by := r.forwardBy()
	return !by.IsZero() && !r.f.Clock.Exact().Before(by)
}
