package forward

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/eventstream"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/responseend"
)

// streamBufferSize is the size of one read from a stream.
const streamBufferSize = 4 << 10

// eventStreamType is the content type of a stream of events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether a response is a stream of events that the gateway can read. One without a content
// type counts as such.
func isEventStream(resp *http.Response) bool {
	kind, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	kind = strings.TrimSpace(kind)
	return (kind == "" || strings.EqualFold(kind, eventStreamType)) && resp.Header.Get("Content-Encoding") == ""
}

// streamResponse forwards the events of a response as they arrive.
func (r *inflightRequest) streamResponse(l *fleet.Lease, conn *conns.Conn, resp *http.Response) (next step, v fleet.Verdict, reason Reason, reuse bool) {
	metadata := r.f.Codec.Marks(resp.StatusCode, resp.Header)
	r.mayHaveRun = true
	if !metadata.Sealed {
		return stepRetry, fleet.VerdictBad, ReasonInvalidResponse, false
	}
	r.trace = streamTrace{framing: responseend.FramingOf(resp)}
	r.order.BeginResponse()
	events := eventstream.Splitter{}
	held := heldEvent{budget: r.f.Buffered}
	defer held.set(0)
	buffer := make([]byte, streamBufferSize)
	deliver := func(complete []byte) error { return r.writeEvents(resp, complete) }
	for {
		n, err := resp.Body.Read(buffer)
		if complete := events.Feed(buffer[:n]); len(complete) > 0 {
			r.recordEvents(l)
			problem, gone := r.order.Accept(complete, deliver)
			if gone != nil {
				r.traceEnd(streamEndAborted)
				r.giveUp(r.writeFailed(gone))
				return stepDone, fleet.VerdictNone, r.result.Reason, false
			}
			if problem != "" {
				r.traceProblem(problem)
				return stepRetry, fleet.VerdictBad, ReasonInvalidResponse, false
			}
			if !r.order.Resumable() {
				l.OnReroute(nil)
			}
		}
		if !held.set(events.Partial()) {
			r.traceEnd(streamEndAborted)
			return stepRetry, fleet.VerdictBad, r.oversized("event"), false
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && events.AtBoundary() {
			return r.streamEnded(l, conn, resp)
		}
		r.traceEnd(endOf(err))
		next, v, reason = r.responseFailed(&conns.Error{Op: "read stream", Kind: conns.KindLost, Err: err})
		return next, v, reason, false
	}
}

// recordEvents records that events arrived.
func (r *inflightRequest) recordEvents(l *fleet.Lease) {
	now := r.f.Clock.Now()
	l.RecordResponse(now)
	if r.attemptStartedAt.IsZero() {
		r.attemptStartedAt = now
	}
}

// streamEnded sets the result of a stream whose replica ended it.
func (r *inflightRequest) streamEnded(l *fleet.Lease, conn *conns.Conn, resp *http.Response) (next step, v fleet.Verdict, reason Reason, reuse bool) {
	if r.order.Behind() {
		r.traceEnd(streamEndBehind)
		return stepRetry, fleet.VerdictBad, ReasonInvalidResponse, false
	}
	finding := r.judgeEnd(l, conn, resp)
	if !finding.Proved() {
		r.traceEnd(unprovedEnd(finding))
		next, v, reason = r.unproved(finding)
		return next, v, reason, false
	}
	if !r.result.ResponseStarted {
		if err := r.beginStream(resp); err != nil {
			r.traceEnd(streamEndAborted)
			r.giveUp(r.writeFailed(err))
			return stepDone, fleet.VerdictNone, r.result.Reason, false
		}
	}
	unconfirmed := finding != responseend.FindingWhole
	if unconfirmed && r.mayConfirmEnd() {
		r.traceEnd(streamEndUnconfirmed)
		r.endAssumed, r.endDoubtful, r.unframed = true, finding == responseend.FindingReplicaLeft, true
		return stepRetry, fleet.VerdictGood, ReasonNone, false
	}
	if finding == responseend.FindingReplicaLeft && r.callerMayResume() {
		r.traceEnd(streamEndReplica)
		return stepRetry, fleet.VerdictNone, ReasonResponseLost, false
	}
	r.traceEnd(streamEndWhole)
	r.setAnswered(resp.StatusCode)
	r.unframed = unconfirmed
	return stepDone, fleet.VerdictGood, ReasonNone, true
}

// writeEvents sends complete events to the client.
func (r *inflightRequest) writeEvents(resp *http.Response, complete []byte) error {
	if !r.result.ResponseStarted {
		if err := r.beginStream(resp); err != nil {
			return err
		}
	}
	now := r.f.Clock.Now()
	if !r.lastEventAt.IsZero() {
		r.recordPause(now)
	}
	r.lastEventAt = now
	r.endAssumed = false
	return r.sink.WriteEvents(complete)
}

// recordPause records the time since events were last sent.
func (r *inflightRequest) recordPause(now time.Time) {
	if pause := now.Sub(r.lastEventAt); pause > r.result.MaxPause {
		r.result.MaxPause, r.result.MaxPauseAt = pause, now.Sub(r.request.ReceivedAt)
	}
}

// beginStream sends the head of a stream; an error means that the client is gone.
func (r *inflightRequest) beginStream(resp *http.Response) error {
	r.recordFirstByte()
	if err := r.sink.BeginStream(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	r.result.ResponseStarted = true
	r.result.Status = resp.StatusCode
	return nil
}

// recordFirstByte records the time to the first byte of the response.
func (r *inflightRequest) recordFirstByte() {
	if r.result.FirstByte == 0 {
		r.result.FirstByte = r.f.Clock.Since(r.request.ReceivedAt)
	}
}
