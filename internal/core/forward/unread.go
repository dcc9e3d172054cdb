package forward

import (
	"errors"
	"io"
	"net/http"

	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/membudget"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/responseend"
	"graniteknot.org/go/internal/core/stall"
)

// maxPartialEvent bounds an event that is not complete yet. Usual events have some hundred bytes.
const maxPartialEvent = 1 << 20

// oversized counts a response that exceeds a bound, and returns the reason.
func (r *inflightRequest) oversized(bound string) Reason {
	r.f.Meter.Count("graniteknot_oversized_responses_total",
		serviceLabel(r.request.Service.Name), meter.Label{Name: "bound", Value: bound})
	return ReasonOversizedResponse
}

// newBody returns a buffer for a response's body, which is released with the request at the latest.
func (r *inflightRequest) newBody() *membudget.Buffer {
	body := &membudget.Buffer{Budget: r.f.Buffered}
	r.bodies = append(r.bodies, body)
	return body
}

func (r *inflightRequest) releaseBodies() {
	for _, body := range r.bodies {
		body.Release()
	}
}

// writeFailed returns why a write to the client failed.
func (r *inflightRequest) writeFailed(err error) Reason {
	if errors.Is(err, stall.ErrUnread) {
		r.countUnread("caller")
		return ReasonClientUnread
	}
	return ReasonClientGone
}

// countUnread counts a request that was canceled because its client or its replica did not read.
func (r *inflightRequest) countUnread(peer string) {
	r.f.Meter.Count("graniteknot_unread_canceled_total",
		serviceLabel(r.request.Service.Name), meter.Label{Name: "peer", Value: peer})
}

// relayResponse forwards a response as it arrives, since the memory budget does not allow to hold
// all of it. It cannot be repeated at another replica, and keeps its replica's slot until the
// client has read it; to refuse it would lose a response that exists.
func (r *inflightRequest) relayResponse(l *fleet.Lease, conn *conns.Conn, resp *http.Response, begun []byte, rest io.Reader) (next step, v fleet.Verdict, reason Reason, reuse bool) {
	r.f.Meter.Count("graniteknot_responses_unbuffered_total", serviceLabel(r.request.Service.Name))
	if err := r.beginStream(resp); err != nil {
		r.giveUp(r.writeFailed(err))
		return stepDone, fleet.VerdictNone, r.result.Reason, false
	}
	sent := 0
	buffer := make([]byte, streamBufferSize)
	for part, readErr := begun, error(nil); ; {
		if len(part) > 0 {
			if err := r.sink.WriteEvents(part); err != nil {
				r.giveUp(r.writeFailed(err))
				return stepDone, fleet.VerdictNone, r.result.Reason, false
			}
		}
		sent += len(part)
		if errors.Is(readErr, io.EOF) && sent <= maxResponseBody {
			if finding := r.judgeEnd(l, conn, resp); !finding.Proved() {
				reason = unprovedReason(finding)
				r.giveUp(reason)
				return stepDone, fleet.VerdictBad, reason, false
			}
			r.setAnswered(resp.StatusCode)
			r.unframed = responseend.FramingOf(resp) == responseend.FramingClose
			return stepDone, fleet.VerdictGood, ReasonNone, true
		}
		if readErr != nil {
			reason = ReasonResponseLost
			if r.ctx.Err() != nil {
				reason = r.cancelReason()
			}
			r.giveUp(reason)
			return stepDone, fleet.VerdictBad, reason, false
		}
		var n int
		n, readErr = rest.Read(buffer)
		part = buffer[:n]
	}
}

// heldEvent counts the incomplete event of a stream against the memory budget.
type heldEvent struct {
	budget *membudget.Budget
	held   int
}

// set counts an incomplete event of a size, and returns false if it is too large to be held.
func (h *heldEvent) set(size int) bool {
	h.budget.Hold(size - h.held)
	h.held = size
	return size <= maxPartialEvent
}
