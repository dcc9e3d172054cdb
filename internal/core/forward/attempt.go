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
)

const (
	// maxBody bounds a whole answer that is kept to be passed on at once; a
	// larger one is refused as spoiled.
	maxBody = 16 << 20
	// endless is the time that a replica has when nothing bounds a request.
	endless = 10 * time.Minute
)

// attempt sends the request to one replica and passes its answer on.
func (r *run) attempt(l *fleet.Lease) (step, fleet.Verdict, Reason) {
	f := r.f
	conn, err := f.Pool.Get(r.ctx, l.Replica.Address, f.ConnLimit(r.job.Service))
	if err != nil {
		return r.unsent(err)
	}
	if why, ok := r.maySend(); !ok {
		f.Pool.Put(l.Replica.Address, conn)
		r.giveUp(why)
		return stepDone, fleet.VerdictNone, why
	}
	if !l.Allowed(f.Clock.Now()) {
		f.Pool.Put(l.Replica.Address, conn)
		r.withheld = true
		return stepAgain, fleet.VerdictNone, ReasonReplicaBackoff
	}
	stop := context.AfterFunc(r.ctx, conn.Abort)
	r.move = &mover{conn: conn}
	if r.movable() {
		l.OnReroute(r.moveIfAllowed)
	}
	whole := false
	defer func() {
		moved := r.move.end()
		if stop() && whole && !moved {
			f.Pool.Put(l.Replica.Address, conn)
			return
		}
		f.Pool.Drop(l.Replica.Address, conn)
	}()
	answer, err := conn.Do(&conns.Call{ //nolint:bodyclose // The connection's end or reuse closes it.
		Method: r.job.Method, Head: f.Codec.Head(r.outgoing(l)), Body: r.job.Body, Mine: r.mine,
	})
	if err != nil {
		return r.failed(err)
	}
	r.heed(l, answer)
	if r.job.Route.Kind != catalog.KindStream || answer.StatusCode != http.StatusOK {
		next, verdict, why, ok := r.whole(l, answer)
		whole = ok
		return next, verdict, why
	}
	next, verdict, why, ok := r.stream(l, answer)
	whole = ok
	return next, verdict, why
}

func (r *run) outgoing(l *fleet.Lease) *Attempt {
	left := endless
	if !r.job.RespondBy.IsZero() {
		left = max(r.f.Clock.Until(r.job.RespondBy), time.Millisecond)
	}
	return &Attempt{RoutedRequest: r.job, Replica: &l.Replica, Timeout: left, LastEventID: r.after}
}

func (r *run) mine(h http.Header) bool { return r.f.Codec.Marks(0, h).RequestID == r.job.ID }

// unsent acts on a connection that could not be had.
func (r *run) unsent(err error) (step, fleet.Verdict, Reason) {
	if r.ctx.Err() != nil {
		r.giveUp(r.stopReason())
		return stepDone, fleet.VerdictNone, r.result.Reason
	}
	var e *conns.Error
	if errors.As(err, &e) && e.Kind == conns.KindFull {
		return stepAgain, fleet.VerdictFull, ReasonBusy
	}
	return stepAgain, fleet.VerdictBad, ReasonUnreachable
}

// failed acts on a request that was sent, or partly, and has no answer.
func (r *run) failed(err error) (step, fleet.Verdict, Reason) {
	var e *conns.Error
	if errors.As(err, &e) && e.Kind == conns.KindUnsent {
		return stepAgain, fleet.VerdictBad, ReasonUnreachable
	}
	r.mayHaveRun = true
	if r.ctx.Err() != nil {
		r.giveUp(r.stopReason())
		return stepDone, fleet.VerdictNone, r.result.Reason
	}
	if r.move.end() {
		return stepAgain, fleet.VerdictNone, ReasonReplicaSilent
	}
	r.broke = true
	if e != nil && e.Kind == conns.KindSpoiled {
		return stepAgain, fleet.VerdictBad, ReasonInvalidResponse
	}
	return stepAgain, fleet.VerdictBad, ReasonResponseLost
}

// whole takes an answer that is passed on only when all of it is there.
func (r *run) whole(l *fleet.Lease, answer *http.Response) (next step, v fleet.Verdict, why Reason, reuse bool) {
	marks := r.f.Codec.Marks(answer.StatusCode, answer.Header)
	if marks.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxBody))
		return stepAgain, refusal(&marks), ReasonRefused, err == nil
	}
	r.mayHaveRun = true
	l.RecordResponse(r.f.Clock.Now())
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		next, v, why = r.failed(&conns.Error{Op: "read answer", Kind: conns.KindLost, Err: err})
		return next, v, why, false
	}
	if !marks.Sealed || promised(answer.StatusCode) {
		return stepAgain, fleet.VerdictBad, ReasonInvalidResponse, true
	}
	a := &reply{status: answer.StatusCode, header: answer.Header, body: body}
	if answer.StatusCode >= http.StatusInternalServerError && r.job.Route.Repeats() {
		r.spare = a
		return stepAgain, fleet.VerdictBad, ReasonResponseLost, true
	}
	r.give(a)
	verdict := fleet.VerdictGood
	if answer.StatusCode >= http.StatusInternalServerError {
		verdict = fleet.VerdictBad
	}
	return stepDone, verdict, r.result.Reason, true
}

// promised tells whether callers take a status for proof that nothing ran.
func promised(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func refusal(m *ResponseMetadata) fleet.Verdict {
	if m.WrongReplica {
		return fleet.VerdictGone
	}
	return fleet.VerdictFull
}

// finish settles a request whose whole answer was passed on.
func (r *run) finish(status int) {
	r.result.Outcome = graniteknot.OutcomeAnswered
	r.result.Reason = ReasonNone
	r.result.Status = status
}
