package forward

import (
	"errors"
	"io"
	"log/slog"
	"syscall"

	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/eventstream"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/responseend"
)

// streamEnd is how the stream of an attempt ended.
type streamEnd string

const (
	// streamEndWhole: its framing marks the end.
	streamEndWhole streamEnd = "whole"
	// streamEndBehind: its framing marks the end, but it began anew and ended before what the client has.
	streamEndBehind streamEnd = "behind"
	// streamEndInEvent: its framing marks the end, but its last event is incomplete.
	streamEndInEvent streamEnd = "in-event"
	// streamEndCut: the connection was closed before the end that its framing announces.
	streamEndCut streamEnd = "cut"
	// streamEndReset: the connection was reset.
	streamEndReset streamEnd = "reset"
	// streamEndDeadline: its framing marks the end, but its replica may have stopped for want of time.
	streamEndDeadline streamEnd = "deadline"
	// streamEndReplica: it ended with its connection, and its replica accepts no more connections.
	streamEndReplica streamEnd = "replica-ended"
	// streamEndUnconfirmed: it ended with its connection, and another replica is asked whether events follow.
	streamEndUnconfirmed streamEnd = "unconfirmed"
	// streamEndAborted: the gateway closed the connection.
	streamEndAborted streamEnd = "aborted"
)

// streamTrace describes the stream of one attempt for the log. The zero value is that of an attempt
// without a stream.
type streamTrace struct {
	framing responseend.Framing
	end     streamEnd
	// problem is why the stream was broken off; empty if it was not.
	problem eventstream.Problem
}

// endOf classifies the error that ended the reading of a stream.
func endOf(err error) streamEnd {
	switch {
	case errors.Is(err, io.EOF):
		return streamEndInEvent
	case errors.Is(err, io.ErrUnexpectedEOF):
		return streamEndCut
	case errors.Is(err, syscall.ECONNRESET):
		return streamEndReset
	}
	return streamEndAborted
}

// unprovedEnd is how a stream ended whose end proves nothing.
func unprovedEnd(finding responseend.Finding) streamEnd {
	if finding == responseend.FindingTimeOver {
		return streamEndDeadline
	}
	return streamEndReplica
}

// traceProblem records that the gateway broke the stream of the current attempt off.
func (r *inflightRequest) traceProblem(p eventstream.Problem) {
	r.traceEnd(streamEndAborted)
	r.trace.problem = p
	r.f.Meter.Count("graniteknot_streams_refused_total", serviceLabel(r.request.Service.Name), meter.Label{Name: "reason", Value: string(p)})
}

// traceEnd records how the stream of the current attempt ended, and counts it unless it is whole.
func (r *inflightRequest) traceEnd(end streamEnd) {
	r.trace.end = end
	if end == streamEndWhole {
		return
	}
	r.f.Meter.Count("graniteknot_streams_broken_total", serviceLabel(r.request.Service.Name),
		meter.Label{Name: "framing", Value: string(r.trace.framing)}, meter.Label{Name: "end", Value: string(end)})
}

// appendTraceAttrs appends the log attributes of the current attempt's stream.
func (r *inflightRequest) appendTraceAttrs(out []slog.Attr) []slog.Attr {
	t := &r.trace
	if t.framing == "" {
		return out
	}
	events, first, last := r.order.Response()
	out = append(out,
		slog.String("framing", string(t.framing)), slog.Int("events", events),
		slog.String("first_id", first), slog.String("last_id", last), slog.String("end", string(t.end)),
	)
	if t.problem != "" {
		out = append(out, slog.String("problem", string(t.problem)))
	}
	if dropped := r.order.Dropped(); dropped > 0 {
		out = append(out, slog.Int("dropped", dropped))
	}
	if !r.request.RespondBy.IsZero() {
		out = append(out, eventlog.Milliseconds("left", r.f.Clock.Until(r.request.RespondBy)))
	}
	return out
}
