package forward

import (
	"log/slog"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/meter"
)

// usualAttrs is how many attributes the line of an attempt usually has.
const usualAttrs = 20

// logAttempt logs one attempt: what its replica was chosen by, and how it ended.
func (r *inflightRequest) logAttempt(l *fleet.Lease, v fleet.Verdict, reason Reason) {
	r.f.Meter.Count("graniteknot_attempts_total",
		serviceLabel(l.Replica.Service), meter.Label{Name: "verdict", Value: v.String()},
		meter.Label{Name: "reason", Value: string(reason)})
	in := l.Inputs
	fields := append(make([]slog.Attr, 0, usualAttrs),
		slog.String("request", string(r.request.ID)), slog.Int("attempt", r.result.Attempts),
		slog.String("replica", l.Replica.Life().String()), slog.String("address", string(l.Replica.Address)),
		slog.String("verdict", v.String()), eventlog.Milliseconds("since_arrival", r.f.Clock.Since(r.request.ReceivedAt)),
		slog.Int("own", in.Own), slog.Int("others", in.Others), slog.Int("room", in.Capacity), slog.Float64("skew", in.Skew), slog.Bool("trial", in.Probe),
		eventlog.Milliseconds("pass", in.Pass), eventlog.Milliseconds("report_age", in.ReportAge), eventlog.Milliseconds("waited", in.Waited),
	)
	if in.Reserved > 0 {
		fields = append(fields, slog.Int("reserved", in.Reserved))
	}
	if in.Permit {
		fields = append(fields, slog.Bool("permit", true))
	}
	fields = r.appendTraceAttrs(fields)
	fields = append(fields, signalAttrs(&r.metadata)...)
	if reason == ReasonNone {
		r.f.Log.Info("attempt", fields...)
		return
	}
	if r.cachedSubject != nil {
		fields = append(fields, slog.String("identity", r.cachedSubject.Request.String()))
	}
	r.f.Log.Warn("attempt", append(fields, slog.String("reason", string(reason)))...)
}

// serviceLabel labels a metric with a service.
func serviceLabel(s graniteknot.Service) meter.Label {
	return meter.Label{Name: "service", Value: string(s)}
}
