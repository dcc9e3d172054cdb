package gateway

import (
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/membudget"
	"graniteknot.org/go/internal/core/meter"
)

// retryAfterUnavailable is the retry delay given when there is no capacity, no configuration or no
// replica.
const retryAfterUnavailable = 300 * time.Millisecond

// retryAfterBusy is the retry delay given when a request waited for capacity in vain; an earlier
// retry would meet the same overload.
const retryAfterBusy = 1800 * time.Millisecond

// retryAfterQuarantined is the retry delay given for a request that is quarantined, or has a
// quarantined part in its prompt, for crashing replicas.
const retryAfterQuarantined = time.Minute

// serve handles a caller's request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := g.Clock.Now()
	tree, age := g.awaitTree(r.Context())
	request, err := g.Translator.Request(r, arrived)
	x := &exchange{gateway: g, w: w, r: r, request: request, versionAge: age}
	if tree == nil {
		x.refuse(http.StatusServiceUnavailable, "no-configuration", retryAfterUnavailable)
		return
	}
	x.version = tree.Version
	if err != nil {
		x.refuseMalformed(err)
		return
	}
	granted, denied := authorize(tree, request)
	if denied != (denial{}) {
		allowed := false
		if granted, allowed = x.recheck(); !allowed {
			return
		}
	}
	x.forward(granted)
}

// forward forwards a request that the configuration allows, and finishes its response.
func (x *exchange) forward(granted access) {
	if err := x.request.LastEventIDError; err != nil && granted.route.Kind == catalog.KindStream {
		x.refuseMalformed(err)
		return
	}
	job := x.admit(granted)
	defer x.body.Release()
	if job == nil || !x.readBody(granted.tree.Limits.BodyBytes) {
		return
	}
	x.redeemClaim()
	result := x.gateway.Forwarder.Do(x.r.Context(), job, x)
	x.finish(&result)
}

// exchange is a caller's request and its response.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	request *forward.Request
	job     *forward.RoutedRequest
	// body holds the request's body.
	body membudget.Buffer
	// version and versionAge describe the configuration that the request was authorized under.
	version    catalog.Version
	versionAge time.Duration
	// responseComplete is called at the end of a response that was begun.
	responseComplete func()
	// promise is what was told to and expected of the caller.
	promise promise
}

// admit returns the forwarding job of an allowed request, or nil after a refusal.
func (x *exchange) admit(granted access) *forward.RoutedRequest {
	if granted.account != nil && !x.gateway.keysFresh() {
		x.refuse(http.StatusServiceUnavailable, string(forward.ReasonStaleConfig), retryAfterUnavailable)
		return nil
	}
	route := granted.route
	x.job = &forward.RoutedRequest{
		Request: x.request, Route: route, Account: granted.account, Service: granted.tree.Service(route.Pick(rand.Uint64())),
		RespondBy: deadlineOf(x.request, route),
	}
	return x.job
}

// deadlineOf returns the earlier of the request's deadline and the route's timeout; zero means
// none.
func deadlineOf(r *forward.Request, route *catalog.Route) time.Time {
	deadline := r.Deadline
	if route.Timeout > 0 {
		if t := r.ReceivedAt.Add(route.Timeout); deadline.IsZero() || t.Before(deadline) {
			deadline = t
		}
	}
	return deadline
}

// readBody reads the request's body; it returns false after a refusal.
func (x *exchange) readBody(limit int) bool {
	reader := x.r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(x.w, reader, int64(limit))
	}
	control := http.NewResponseController(x.w)
	err := x.bufferBody(reader, limit, control)
	x.request.Body = x.body.Bytes()
	if err == nil {
		return true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && x.stopsFirst() {
		x.refuseForStop(control)
		return false
	}
	if errors.Is(err, membudget.ErrFull) {
		x.refuseForMemory(control)
		return false
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	x.refuse(http.StatusRequestTimeout, "body-incomplete", 0)
	return false
}

// refuse answers a request that was sent to no replica.
func (x *exchange) refuse(status int, reason string, delay time.Duration) {
	x.writeFailure(status, delay)
	x.gateway.Meter.Count("graniteknot_refused_total", meter.Label{Name: "reason", Value: reason})
	x.countRefusal(reason)
	source := x.gateway.settingsSource.Load()
	behind, _ := x.gateway.peerVersions.behindFor(x.gateway.Clock.Now())
	x.gateway.Log.Warn("refused", slog.String("request", string(x.request.ID)), slog.Int("status", status),
		slog.String("reason", reason), slog.Int64("version", int64(x.version)), eventlog.Milliseconds("version_age", x.versionAge),
		slog.String("proved_by", string(source.peer)), slog.String("read_by", string(source.reader)),
		eventlog.Milliseconds("behind", behind),
		slog.String("host", x.request.Host), slog.String("path", x.request.Path))
}

// refuseMalformed answers a request that cannot be parsed, and says why.
func (x *exchange) refuseMalformed(err error) {
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.refuse(http.StatusBadRequest, "malformed", 0)
	x.gateway.Log.Warn("malformed request", slog.String("request", string(x.request.ID)), slog.String("error", err.Error()))
	_, _ = io.WriteString(x.w, err.Error()+"\n") //nolint:gosec // The errors of requests quote nothing of them.
}

// writeFailure writes a failure response of the product's own.
func (x *exchange) writeFailure(status int, delay time.Duration) {
	x.closeIfLeaving()
	x.gateway.Translator.Refusal(x.w.Header(), x.request.ID, delay)
	x.w.WriteHeader(status)
}

// finish reports the outcome to the caller if no response was written, and logs the request.
func (x *exchange) finish(result *forward.Result) {
	status := result.Status
	switch {
	case result.Outcome == graniteknot.OutcomeAnswered:
	case result.ResponseStarted:
		status = 0
	case result.Reason == forward.ReasonClientGone, result.Reason == forward.ReasonClientUnread:
		status = 0
	case result.Outcome == graniteknot.OutcomeNotRun:
		status = http.StatusServiceUnavailable
		x.countRefusal(string(result.Reason))
		x.writeFailure(status, x.retryDelay(result))
	case result.Reason == forward.ReasonTimeout:
		status = http.StatusGatewayTimeout
		x.writeFailure(status, 0)
	default:
		status = http.StatusBadGateway
		x.writeFailure(status, 0)
	}
	if result.Outcome == graniteknot.OutcomeAnswered && x.responseComplete != nil {
		x.responseComplete()
	}
	x.logRequest(result, status)
	if status == 0 && result.Outcome != graniteknot.OutcomeAnswered {
		// Closes the connection, so that a partial response does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// retryAfter returns the retry delay for a request that was not run.
func retryAfter(r *forward.Result) time.Duration {
	if r.Reason == forward.ReasonBusy {
		return time.Duration((1 + 0.4*rand.Float64()) * float64(max(r.RetryAfter, retryAfterBusy)))
	}
	if r.Reason == forward.ReasonQuarantined {
		return retryAfterQuarantined
	}
	if r.Reason == forward.ReasonStopping {
		// Another gateway can serve the request at once.
		return 0
	}
	if r.RetryAfter > 0 {
		// The jitter spreads the retries to replicas whose rest has just ended.
		return time.Duration((1 + 0.2*rand.Float64()) * float64(max(r.RetryAfter, retryAfterUnavailable)))
	}
	return retryAfterUnavailable
}

// logRequest records the metrics of a finished request and writes its log line.
func (x *exchange) logRequest(result *forward.Result, status int) {
	x.recordMetrics(result)
	fields := []slog.Attr{
		slog.String("request", string(x.request.ID)), slog.String("outcome", result.Outcome.String()),
		slog.Int("status", status), slog.String("service", string(x.job.Service.Name)),
		slog.String("route", x.job.Route.Name), slog.String("kind", x.job.Route.Kind.String()),
		slog.Int("attempts", result.Attempts), slog.String("replica", result.Replica),
		eventlog.Milliseconds("first", result.FirstByte), eventlog.Milliseconds("pause", result.MaxPause),
		eventlog.Milliseconds("took", x.gateway.Clock.Since(x.request.ReceivedAt)),
		slog.Int64("version", int64(x.version)), eventlog.Milliseconds("version_age", x.versionAge),
	}
	if x.job.Account != nil {
		fields = append(fields, slog.String("account", string(x.job.Account.Name)))
	}
	if result.SinceFirstTry > 0 {
		fields = append(fields, eventlog.Milliseconds("since_first_try", result.SinceFirstTry))
	}
	fields = append(fields, x.promise.attrs()...)
	if missed := x.lateness(result); missed != "" {
		fields = append(fields, slog.String("late", missed), eventlog.Milliseconds("aim", x.job.Route.Aim),
			eventlog.Milliseconds("pause_at", result.MaxPauseAt))
	}
	if result.Outcome == graniteknot.OutcomeAnswered {
		x.gateway.Log.Info("request", fields...)
		return
	}
	if result.Identity != "" {
		fields = append(fields, slog.String("identity", result.Identity))
	}
	if result.BlockedPart != "" {
		fields = append(fields, slog.String("part", result.BlockedPart), slog.String("model", x.request.Model))
	}
	x.gateway.Log.Warn("request", append(fields, slog.String("reason", string(result.Reason)))...)
}

// lateness returns which latency target of the route a response missed: "first" for the first
// byte, "pause" for a gap in a stream, or "both"; empty if none.
func (x *exchange) lateness(r *forward.Result) string {
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
