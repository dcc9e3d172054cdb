package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/fleet"
)

// readSize is how much of a stream is read at once.
const readSize = 4 << 10

// stream passes the events of an answer on as they come.
func (r *run) stream(l *fleet.Lease, answer *http.Response) (next step, v fleet.Verdict, why Reason, reuse bool) {
	marks := r.f.Codec.Marks(answer.StatusCode, answer.Header)
	r.mayHaveRun = true
	if !marks.Sealed {
		return stepAgain, fleet.VerdictBad, ReasonInvalidResponse, false
	}
	events := splitter{}
	buffer := make([]byte, readSize)
	for {
		n, err := answer.Body.Read(buffer)
		if whole := events.add(buffer[:n]); len(whole) > 0 {
			l.RecordResponse(r.f.Clock.Now())
			if gone := r.pass(answer, whole, events.last); gone {
				return stepDone, fleet.VerdictNone, ReasonClientGone, false
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && events.empty() {
			return r.ended(answer)
		}
		next, v, why = r.failed(&conns.Error{Op: "read stream", Kind: conns.KindLost, Err: err})
		return next, v, why, false
	}
}

// ended settles a stream that its replica ended.
func (r *run) ended(answer *http.Response) (step, fleet.Verdict, Reason, bool) {
	if !r.result.ResponseStarted && !r.begin(answer) {
		return stepDone, fleet.VerdictNone, ReasonClientGone, false
	}
	r.finish(answer.StatusCode)
	return stepDone, fleet.VerdictGood, ReasonNone, true
}

// pass gives whole events to the caller; true when the caller is gone.
func (r *run) pass(answer *http.Response, whole []byte, last EventID) (gone bool) {
	if !r.result.ResponseStarted && !r.begin(answer) {
		return true
	}
	now := r.f.Clock.Now()
	if !r.lastPart.IsZero() {
		r.paused(now)
	}
	r.lastPart = now
	if err := r.sink.WriteEvents(whole); err != nil {
		r.giveUp(ReasonClientGone)
		return true
	}
	if last != "" {
		r.after = last
	}
	return false
}

// paused takes in the time since the last part.
func (r *run) paused(now time.Time) {
	if pause := now.Sub(r.lastPart); pause > r.result.MaxPause {
		r.result.MaxPause, r.result.MaxPauseAt = pause, now.Sub(r.job.ReceivedAt)
	}
}

// begin passes the head of a stream on; false when the caller is gone.
func (r *run) begin(answer *http.Response) bool {
	r.first()
	if err := r.sink.BeginStream(answer.StatusCode, answer.Header); err != nil {
		r.giveUp(ReasonClientGone)
		return false
	}
	r.result.ResponseStarted = true
	r.result.Status = answer.StatusCode
	return true
}
