package forward

import (
	"log/slog"
	"net/http"

	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/meter"
)

// applySignals applies what a response's headers say of its replica: backoff, planned shutdown,
// rate limit and warm-up. It does so before the body is read and whatever the status, since they
// concern all requests to the replica.
func (r *inflightRequest) applySignals(l *fleet.Lease, resp *http.Response) {
	r.metadata = r.f.Codec.Marks(resp.StatusCode, resp.Header)
	if r.metadata.WrongReplica {
		// The response is from another replica.
		return
	}
	answered := r.metadata.Sealed && !r.metadata.NotRun
	signals := fleet.Feedback{
		Backoff: r.metadata.RetryAfter, Leaving: r.metadata.Leaving, Limit: r.metadata.RateLimit, Warmup: r.metadata.Warmup,
		Answered: answered, Unlimited: answered && !r.metadata.RateLimit.Present && !r.metadata.RateLimit.Invalid,
	}
	if l.ApplyFeedback(signals, r.f.Clock.Now()) {
		r.f.Log.Info("replica said", append(signalAttrs(&r.metadata), slog.String("replica", l.Replica.Life().String()))...)
	}
	if r.metadata.RetryAfter > 0 {
		r.countSignal(l, "rest")
	}
	if r.metadata.Leaving {
		r.countSignal(l, "leaving")
	}
	if r.metadata.Warmup.Left > 0 {
		r.countSignal(l, "warm-up")
	}
	switch {
	case r.metadata.RateLimit.Invalid:
		r.countSignal(l, "odd limit")
	case r.metadata.RateLimit.Present:
		r.countSignal(l, "limit")
	}
}

// countSignal counts a signal of a replica.
func (r *inflightRequest) countSignal(l *fleet.Lease, signal string) {
	r.f.Meter.Count("graniteknot_replicas_said_total",
		serviceLabel(l.Replica.Service), meter.Label{Name: "word", Value: signal})
}

// signalAttrs returns the log attributes for a replica's signals.
func signalAttrs(m *ResponseMetadata) []slog.Attr {
	var out []slog.Attr
	if m.RetryAfter > 0 {
		out = append(out, eventlog.Milliseconds("rest_asked", m.RetryAfter))
	}
	if m.Leaving {
		out = append(out, slog.Bool("leaving", true))
	}
	if m.RateLimit.Present {
		out = append(out, slog.Float64("limit", float64(m.RateLimit.Rate)))
	}
	if m.Warmup.Present {
		out = append(out, eventlog.Milliseconds("warmup", m.Warmup.Left))
	}
	if m.RateLimit.Invalid {
		out = append(out, slog.Bool("odd_limit", true))
	}
	return out
}
