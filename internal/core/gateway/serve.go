package gateway

import (
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"graniteknot.org/go/internal/core/eventlog"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/meter"
)

// refusedAgain is when a caller may come back that was refused for want of
// room, configuration or replicas.
const refusedAgain = 300 * time.Millisecond

// busyAgain is when a caller may come back that was refused for want of room
// after it had waited: sooner, it would meet the same crowd.
const busyAgain = 1800 * time.Millisecond

// quarantinedAgain is when a caller may come back whose request ends replicas: not soon.
const quarantinedAgain = time.Minute

// serve takes one caller's request to its answer.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := g.Clock.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	tree, age := g.tree(r.Context())
	request, err := g.Translator.Request(r, arrived)
	x := &exchange{gateway: g, w: w, r: r, request: request, age: age}
	if tree == nil {
		x.refuse(http.StatusServiceUnavailable, "no-configuration", refusedAgain)
		return
	}
	x.version = tree.Version
	if err != nil {
		x.refuse(http.StatusBadRequest, "malformed", 0)
		return
	}
	found, deny := grantOf(tree, request)
	if deny != (denial{}) {
		permitted := false
		if found, permitted = x.reconsider(); !permitted {
			return
		}
	}
	x.forward(found)
}

// forward takes a request that the configuration allows to its answer.
func (x *exchange) forward(found grant) {
	job := x.admit(found)
	if job == nil || !x.body(found.tree.Limits.BodyBytes) {
		return
	}
	result := x.gateway.Forwarder.Do(x.r.Context(), job, x)
	x.end(&result)
}

// exchange is one request and its answer.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	request *forward.Request
	job     *forward.RoutedRequest
	// version and age are of the configuration that the request was read under.
	version catalog.Version
	age     time.Duration
}

// admit makes the job of a request that the configuration allows; nil after a refusal.
func (x *exchange) admit(found grant) *forward.RoutedRequest {
	if found.account != nil && !x.gateway.fresh() {
		x.refuse(http.StatusServiceUnavailable, string(forward.ReasonStaleConfig), refusedAgain)
		return nil
	}
	route := found.route
	x.job = &forward.RoutedRequest{
		Request: x.request, Route: route, Account: found.account, Service: found.tree.Service(route.Pick(rand.Uint64())),
		RespondBy: endOf(x.request, route),
	}
	return x.job
}

// endOf is the earlier of the request's deadline and the route's timeout.
func endOf(r *forward.Request, route *catalog.Route) time.Time {
	end := r.Deadline
	if route.Timeout > 0 {
		if t := r.ReceivedAt.Add(route.Timeout); end.IsZero() || t.Before(end) {
			end = t
		}
	}
	return end
}

// body reads the request's body; false after a refusal.
func (x *exchange) body(limit int) bool {
	reader := x.r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(x.w, reader, int64(limit))
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.readBy())
	body, err := io.ReadAll(reader)
	_ = control.SetReadDeadline(time.Time{})
	x.request.Body = body
	if err == nil {
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	x.refuse(http.StatusRequestTimeout, "body-incomplete", 0)
	return false
}

// refuse answers a request that was handed to no replica.
func (x *exchange) refuse(status int, reason string, again time.Duration) {
	x.fail(status, again)
	x.gateway.Meter.Count("graniteknot_refused_total", meter.Label{Name: "reason", Value: reason})
	from := x.gateway.settingsFrom.Load()
	behind, _ := x.gateway.newer.behind(x.gateway.Clock.Now())
	x.gateway.Log.Warn("refused", slog.String("request", string(x.request.ID)), slog.Int("status", status),
		slog.String("reason", reason), slog.Int64("version", int64(x.version)), eventlog.Milliseconds("version_age", x.age),
		slog.String("proved_by", string(from.by)), slog.String("read_by", string(from.reader)),
		eventlog.Milliseconds("behind", behind),
		slog.String("host", x.request.Host), slog.String("path", x.request.Path))
}

// fail writes a failure of the product's own.
func (x *exchange) fail(status int, again time.Duration) {
	x.gateway.Translator.Refusal(x.w.Header(), x.request.ID, again)
	x.w.WriteHeader(status)
}

// end tells the caller how the request ended, where its answer did not, and
// writes the line that closes its story.
func (x *exchange) end(result *forward.Result) {
	status := result.Status
	switch {
	case result.Outcome == graniteknot.OutcomeAnswered:
	case result.ResponseStarted:
		status = 0
	case result.Reason == forward.ReasonClientGone:
		status = 0
	case result.Outcome == graniteknot.OutcomeNotRun:
		status = http.StatusServiceUnavailable
		x.fail(status, again(result))
	case result.Reason == forward.ReasonTimeout:
		status = http.StatusGatewayTimeout
		x.fail(status, 0)
	default:
		status = http.StatusBadGateway
		x.fail(status, 0)
	}
	x.log(result, status)
	if status == 0 && result.Outcome != graniteknot.OutcomeAnswered {
		// The connection is closed, so that what was sent does not look whole.
		panic(http.ErrAbortHandler)
	}
}

// again is when the caller of a request that did not run may come back.
func again(r *forward.Result) time.Duration {
	if r.Reason == forward.ReasonBusy {
		return time.Duration((1 + 0.4*rand.Float64()) * float64(max(r.RetryAfter, busyAgain)))
	}
	if r.Reason == forward.ReasonQuarantined {
		return quarantinedAgain
	}
	if r.RetryAfter > 0 {
		// Who comes to replicas that have just rested comes spread over a while.
		return time.Duration((1 + 0.2*rand.Float64()) * float64(max(r.RetryAfter, refusedAgain)))
	}
	return refusedAgain
}

// log writes the line that closes a request's story.
func (x *exchange) log(result *forward.Result, status int) {
	x.count(result)
	fields := []slog.Attr{
		slog.String("request", string(x.request.ID)), slog.String("outcome", result.Outcome.String()),
		slog.Int("status", status), slog.String("service", string(x.job.Service.Name)),
		slog.String("route", x.job.Route.Name), slog.String("kind", x.job.Route.Kind.String()),
		slog.Int("attempts", result.Attempts), slog.String("replica", result.Replica),
		eventlog.Milliseconds("first", result.FirstByte), eventlog.Milliseconds("pause", result.MaxPause),
		eventlog.Milliseconds("took", x.gateway.Clock.Since(x.request.ReceivedAt)),
		slog.Int64("version", int64(x.version)), eventlog.Milliseconds("version_age", x.age),
	}
	if x.job.Account != nil {
		fields = append(fields, slog.String("account", string(x.job.Account.Name)))
	}
	if result.SinceFirstTry > 0 {
		fields = append(fields, eventlog.Milliseconds("since_first_try", result.SinceFirstTry))
	}
	if late := x.late(result); late != "" {
		fields = append(fields, slog.String("late", late), eventlog.Milliseconds("aim", x.job.Route.Aim),
			eventlog.Milliseconds("pause_at", result.MaxPauseAt))
	}
	if result.Outcome == graniteknot.OutcomeAnswered {
		x.gateway.Log.Info("request", fields...)
		return
	}
	if result.Identity != "" {
		fields = append(fields, slog.String("identity", result.Identity))
	}
	x.gateway.Log.Warn("request", append(fields, slog.String("reason", string(result.Reason)))...)
}

// late tells by what an answer is not in time: its first byte, a pause, or both;
// empty for one that is, or where the route says nothing.
func (x *exchange) late(r *forward.Result) string {
	route := x.job.Route
	first := route.Aim > 0 && r.FirstByte > route.Aim
	pause := route.GapAim > 0 && r.MaxPause > route.GapAim
	switch {
	case r.Outcome != graniteknot.OutcomeAnswered:
		return ""
	case first && pause:
		return "both"
	case first:
		return "first"
	case pause:
		return "pause"
	}
	return ""
}

// WriteResponse implements forward.Sink.
func (x *exchange) WriteResponse(status int, h http.Header, body []byte) error {
	x.gateway.Translator.Answer(h, x.w.Header())
	x.noType()
	x.w.WriteHeader(status)
	_, err := x.w.Write(body)
	return err
}

// BeginStream implements forward.Sink.
func (x *exchange) BeginStream(status int, h http.Header) error {
	x.gateway.Translator.Answer(h, x.w.Header())
	x.noType()
	x.w.WriteHeader(status)
	return nil
}

// noType keeps net/http from guessing a type that the replica did not give.
func (x *exchange) noType() {
	if _, given := x.w.Header()["Content-Type"]; !given {
		x.w.Header()["Content-Type"] = nil
	}
}

// WriteEvents implements forward.Sink.
func (x *exchange) WriteEvents(b []byte) error {
	if _, err := x.w.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// readBy is when a connection's reads end at the latest; connections wait by the steady
// clock. Zero is no bound.
func (x *exchange) readBy() time.Time {
	if x.job.RespondBy.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(x.gateway.Clock.Until(x.job.RespondBy))
}
