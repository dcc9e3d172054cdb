package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/membudget"
	"graniteknot.org/go/internal/core/responseend"
)

const (
	// maxResponseBody bounds a response that is buffered; a larger one counts as lost.
	maxResponseBody = 16 << 20
	// defaultReplicaTimeout applies to requests without a deadline or route timeout.
	defaultReplicaTimeout = 10 * time.Minute
)

// attempt sends the request to one replica and forwards its response.
func (r *inflightRequest) attempt(l *fleet.Lease) (step, fleet.Verdict, Reason) {
	f := r.f
	conn, err := f.Pool.Get(r.ctx, l.Replica.Address, f.ConnLimit(r.request.Service))
	if err != nil {
		return r.connectFailed(err)
	}
	if reason, ok := r.maySend(); !ok {
		f.Pool.Put(l.Replica.Address, conn)
		r.giveUp(reason)
		return stepDone, fleet.VerdictNone, reason
	}
	if !l.Allowed(f.Clock.Now()) {
		f.Pool.Put(l.Replica.Address, conn)
		r.withheld = true
		return stepRetry, fleet.VerdictNone, ReasonReplicaBackoff
	}
	stop := context.AfterFunc(r.ctx, conn.Abort)
	r.aborter = &attemptAborter{conn: conn}
	if r.canRetryElsewhere() {
		l.OnReroute(r.abortIfRetryAvailable)
	}
	reusable := false
	defer func() {
		aborted := r.aborter.finish()
		if stop() && reusable && !aborted {
			f.Pool.Put(l.Replica.Address, conn)
			return
		}
		f.Pool.Drop(l.Replica.Address, conn)
	}()
	resp, err := conn.Do(&conns.Call{ //nolint:bodyclose // Reusing or closing the connection closes it.
		Method: r.request.Method, Head: f.Codec.Head(r.newAttempt(l)), Body: r.request.Body, Matches: r.isOwnResponse,
	})
	if err != nil {
		return r.responseFailed(err)
	}
	r.applySignals(l, resp)
	if r.request.Route.Kind != catalog.KindStream || resp.StatusCode != http.StatusOK || !isEventStream(resp) {
		next, verdict, reason, ok := r.readResponse(l, conn, resp)
		reusable = ok
		return next, verdict, reason
	}
	next, verdict, reason, ok := r.streamResponse(l, conn, resp)
	reusable = ok
	return next, verdict, reason
}

func (r *inflightRequest) newAttempt(l *fleet.Lease) *Attempt {
	timeout, now := defaultReplicaTimeout, r.f.Clock.Exact()
	if !r.request.RespondBy.IsZero() {
		timeout = max(r.request.RespondBy.Sub(now).Truncate(time.Millisecond), time.Millisecond)
	}
	r.mayStopAt = mayStopAt(now, timeout)
	return &Attempt{RoutedRequest: r.request, Replica: &l.Replica, Timeout: timeout, LastEventID: EventID(r.order.LastID())}
}

func (r *inflightRequest) isOwnResponse(h http.Header) bool {
	return r.f.Codec.Marks(0, h).RequestID == r.request.ID
}

// connectFailed handles an attempt that got no connection.
func (r *inflightRequest) connectFailed(err error) (step, fleet.Verdict, Reason) {
	if r.ctx.Err() != nil {
		r.giveUp(r.cancelReason())
		return stepDone, fleet.VerdictNone, r.result.Reason
	}
	var e *conns.Error
	if errors.As(err, &e) && e.Kind == conns.KindFull {
		return stepRetry, fleet.VerdictFull, ReasonBusy
	}
	return stepRetry, fleet.VerdictBad, ReasonUnreachable
}

// responseFailed handles a request that was sent at least in part and got no complete
// response.
func (r *inflightRequest) responseFailed(err error) (step, fleet.Verdict, Reason) {
	var e *conns.Error
	if errors.As(err, &e) && e.Kind == conns.KindUnsent {
		return stepRetry, fleet.VerdictBad, ReasonUnreachable
	}
	r.mayHaveRun = true
	if r.ctx.Err() != nil {
		r.giveUp(r.cancelReason())
		return stepDone, fleet.VerdictNone, r.result.Reason
	}
	if r.aborter.finish() {
		return stepRetry, fleet.VerdictNone, ReasonReplicaSilent
	}
	if e != nil && e.Kind == conns.KindUnread {
		r.countUnread("replica")
		return stepRetry, fleet.VerdictBad, ReasonRequestUnread
	}
	if e != nil && e.Kind == conns.KindTooLarge {
		return stepRetry, fleet.VerdictBad, r.oversized("head")
	}
	r.connBroken = true
	if e != nil && e.Kind == conns.KindSpoiled {
		return stepRetry, fleet.VerdictBad, ReasonInvalidResponse
	}
	return stepRetry, fleet.VerdictBad, ReasonResponseLost
}

// readResponse buffers a response and forwards it once it is complete.
func (r *inflightRequest) readResponse(l *fleet.Lease, conn *conns.Conn, resp *http.Response) (next step, v fleet.Verdict, reason Reason, reuse bool) {
	metadata := r.f.Codec.Marks(resp.StatusCode, resp.Header)
	if metadata.NotRun {
		return stepRetry, refusalVerdict(&metadata), ReasonRefused, conn.DiscardRest(resp)
	}
	r.mayHaveRun = true
	l.RecordResponse(r.f.Clock.Now())
	valid := metadata.Sealed && !impliesNotRun(resp.StatusCode)
	if r.result.ResponseStarted || r.resumesStream(resp) {
		next, v, reason = r.resumeRejected(resp.StatusCode, valid && resp.StatusCode != http.StatusOK)
		return next, v, reason, conn.DiscardRest(resp)
	}
	held := r.newBody()
	body := io.LimitReader(resp.Body, maxResponseBody+1)
	err := held.ReadAll(body, resp.ContentLength)
	if errors.Is(err, membudget.ErrFull) && valid {
		return r.relayResponse(l, conn, resp, held.Bytes(), body)
	}
	if err == nil && len(held.Bytes()) > maxResponseBody {
		held.Release()
		conn.Abort()
		return stepRetry, fleet.VerdictBad, r.oversized("body"), false
	}
	if err != nil {
		held.Release()
		next, v, reason = r.responseFailed(&conns.Error{Op: "read answer", Kind: conns.KindLost, Err: err})
		return next, v, reason, false
	}
	if !valid {
		held.Release()
		return stepRetry, fleet.VerdictBad, ReasonInvalidResponse, true
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		if finding := r.judgeEnd(l, conn, resp); !finding.Proved() {
			held.Release()
			next, v, reason = r.unproved(finding)
			return next, v, reason, false
		}
	}
	complete := &response{status: resp.StatusCode, header: resp.Header, body: held.Bytes()}
	if resp.StatusCode >= http.StatusInternalServerError && r.request.Route.Repeats() {
		r.fallback = complete
		return stepRetry, fleet.VerdictBad, ReasonResponseLost, true
	}
	r.complete, r.unframed = complete, responseend.FramingOf(resp) == responseend.FramingClose
	verdict := fleet.VerdictGood
	if resp.StatusCode >= http.StatusInternalServerError {
		verdict = fleet.VerdictBad
	}
	return stepDone, verdict, ReasonNone, true
}

// resumesStream reports whether a response that is no stream of events should go on with one that the client has.
func (r *inflightRequest) resumesStream(resp *http.Response) bool {
	return r.request.Route.Kind == catalog.KindStream && resp.StatusCode == http.StatusOK && r.request.LastEventID != ""
}

// resumeRejected handles a response that is no stream, to a request whose client already has events of one:
// another replica may go on with these where this one failed.
func (r *inflightRequest) resumeRejected(status int, valid bool) (step, fleet.Verdict, Reason) {
	switch {
	case !valid:
		return stepRetry, fleet.VerdictBad, ReasonInvalidResponse
	case status >= http.StatusInternalServerError:
		return stepRetry, fleet.VerdictBad, ReasonResponseLost
	}
	r.giveUp(ReasonInvalidResponse)
	return stepDone, fleet.VerdictNone, ReasonInvalidResponse
}

// impliesNotRun reports whether clients take a status as proof that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func refusalVerdict(m *ResponseMetadata) fleet.Verdict {
	if m.WrongReplica {
		return fleet.VerdictGone
	}
	return fleet.VerdictFull
}

// setAnswered sets the result of a request whose response was forwarded completely.
func (r *inflightRequest) setAnswered(status int) {
	r.result.Outcome = graniteknot.OutcomeAnswered
	r.result.Reason = ReasonNone
	r.result.Status = status
}
