package forward

import (
	"context"
	"net/http"
	"time"

	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/responseend"
)

// driftAllowance is the part of its time by which a replica may stop early, since clocks differ in speed.
const driftAllowance = 1.0 / 1000

// mayStopAt returns from when on a replica that was given a time may have stopped for want of it.
func mayStopAt(sent time.Time, timeout time.Duration) time.Time {
	return sent.Add(timeout - time.Duration(driftAllowance*float64(timeout)))
}

// endProbeTimeout bounds the wait for a new connection. The system of a box refuses one to a process that has ended, and
// lets it wait if the process is busy.
const endProbeTimeout = 250 * time.Millisecond

// judgeEnd returns what the end of a response shows.
func (r *inflightRequest) judgeEnd(l *fleet.Lease, conn *conns.Conn, resp *http.Response) responseend.Finding {
	evidence := responseend.Evidence{
		Framing: responseend.FramingOf(resp), Confirms: r.endAssumed,
		TimeOver: func() bool { return !r.f.Clock.Exact().Before(r.mayStopAt) },
		CloseAge: func() (time.Duration, bool) {
			// The connection that the probe opens takes its place.
			defer conn.Close()
			return conn.SinceClosed()
		},
		Leaving: l.Leaving,
		Listens: func() conns.ListenState {
			ctx, cancel := context.WithTimeout(r.ctx, endProbeTimeout)
			defer cancel()
			return r.f.Pool.ProbeAfterClose(ctx, l.Replica.Address)
		},
	}
	finding := evidence.Judge()
	if finding == responseend.FindingReplicaEnded {
		r.connBroken = true
	}
	return finding
}

// mayConfirmEnd reports whether another replica may be asked for what follows a stream that its connection ended, though
// its replica lives on.
func (r *inflightRequest) mayConfirmEnd() bool {
	return r.canRetryElsewhere() && r.order.LastID() != "" && r.f.RetryBudgets.Plentiful(r.request.Service.Name)
}

// callerMayResume reports whether the caller of a stream that is broken off may ask for what follows.
func (r *inflightRequest) callerMayResume() bool {
	return r.request.Route.Resumable && r.order.LastID() != ""
}

// unprovedReason is why a response is broken whose end proves nothing.
func unprovedReason(finding responseend.Finding) Reason {
	if finding == responseend.FindingTimeOver {
		return ReasonTimeout
	}
	return ReasonResponseLost
}

// unproved returns what follows a response whose end proves nothing.
func (r *inflightRequest) unproved(finding responseend.Finding) (step, fleet.Verdict, Reason) {
	reason := unprovedReason(finding)
	if reason == ReasonResponseLost && r.ctx.Err() == nil {
		return stepRetry, fleet.VerdictBad, reason
	}
	if r.ctx.Err() != nil {
		reason = r.cancelReason()
	}
	r.giveUp(reason)
	return stepDone, fleet.VerdictNone, reason
}
