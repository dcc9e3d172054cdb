package forward

import (
	"context"
	"errors"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/quarantine"
)

// Forwarder takes requests to replicas. Set the exported fields.
type Forwarder struct {
	Codec        Codec
	Pool         *conns.Pool
	Fleet        *fleet.Table
	RetryBudgets *RetryBudgets
	Log          *eventlog.Log
	Meter        *meter.Meter
	Zone         graniteknot.AvailabilityZone
	// Clock is what ages and deadlines are decided by.
	Clock graniteknot.AgeClock
	// ConfigFresh tells whether the configuration is new enough to trust a key.
	ConfigFresh func() bool
	// RetryDetector knows which callers come back.
	RetryDetector RetryDetector
	// ConnLimit bounds this process's connections to one replica of a service.
	ConnLimit func(*catalog.Service) int
	// Quarantine knows which requests are kept from replicas; nil for none.
	Quarantine *quarantine.Table

	endings endings
	// ends are when the requests under way have to be answered.
	ends ends
}

const (
	// aimMargin is taken from the aim for the way between caller and replica.
	aimMargin = 25 * time.Millisecond
	// patienceAims is how many aims a request waits for room. Callers leave a
	// stream that gives nothing for four aims.
	patienceAims = 3
	// leastPatience is the least wait, for routes without an aim.
	leastPatience = 500 * time.Millisecond
)

var errTimeout = errors.New("the request's time is over")

// Do takes a job to its one result.
func (f *Forwarder) Do(caller context.Context, j *RoutedRequest, sink Sink) Result {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	if !j.RespondBy.IsZero() {
		defer f.ends.begin(j.RespondBy, f.Clock.Until(j.RespondBy), func() { cancel(errTimeout) })()
	}
	r := &run{f: f, job: j, sink: sink, ctx: ctx, after: j.LastEventID}
	r.result.SinceFirstTry = f.RetryDetector.SinceFirstTry(j.Route, j.Request)
	r.take()
	r.answered()
	return r.result
}

// run is one request on its way.
type run struct {
	f    *Forwarder
	job  *RoutedRequest
	sink Sink
	ctx  context.Context //nolint:containedctx // It is the request's own life.

	tried []catalog.Life
	// mayHaveRun tells that no replica's word covers some attempt.
	mayHaveRun bool
	// after is the last event that the caller has.
	after EventID
	// move breaks the present attempt off; nil before the first.
	move *mover
	// lastPart is when the last part was passed on; zero before the first.
	lastPart time.Time
	// spare is a replica's own failure, given when nothing better comes.
	spare  *reply
	result Result
	// broke tells that the last attempt's connection broke under the request.
	broke bool
	// withheld tells that nothing was sent, since the replica asked for that while the
	// request waited for a connection.
	withheld bool
	// said is what the last attempt's answer said of its replica.
	said ResponseMetadata
	// identity is the request's key once it was needed.
	identity *quarantine.Key
}

// reply is a whole answer of a replica.
type reply struct {
	status int
	header map[string][]string
	body   []byte
}

// step says what follows an attempt.
type step uint8

const (
	// stepDone ends the request; the result is set.
	stepDone step = iota
	// stepAgain tries another replica, if the request may.
	stepAgain
)

// take makes attempts until one settles the request.
func (r *run) take() {
	f := r.f
	f.RetryBudgets.RecordFirstAttempt(r.job.Service.Name)
	for {
		if why, ok := r.mayTry(); !ok {
			r.giveUp(why)
			return
		}
		lease := r.acquire()
		if lease == nil {
			r.giveUp(r.noLease())
			return
		}
		if why, ok := r.maySend(); !ok {
			lease.End(fleet.VerdictNone, f.Clock.Now())
			r.giveUp(why)
			return
		}
		r.result.Attempts++
		r.broke, r.withheld, r.said = false, false, ResponseMetadata{}
		r.result.Replica = lease.Replica.Life().String()
		next, verdict, why := r.attempt(lease)
		lease.End(verdict, f.Clock.Now())
		if r.broke {
			r.lost(lease)
		}
		if r.withheld {
			r.result.Attempts--
			continue
		}
		r.logAttempt(lease, verdict, why)
		if next == stepDone {
			return
		}
		r.tried = append(r.tried, lease.Replica.Life())
		r.result.Reason = why
	}
}

func (r *run) query() *fleet.Query {
	now := r.f.Clock.Now()
	return &fleet.Query{
		Service: r.job.Service, Size: r.job.Size, Urgency: r.job.Urgency(), MaxGap: r.job.Route.GapAim,
		Tried: r.tried, Zone: r.f.Zone, Now: now, RequestedAt: now,
	}
}

// waiting bounds the wait for room. A caller that comes back counts the aim from its
// first try. A stream that is broken in the middle waits as one that has just come: its
// caller counts the pause.
func (r *run) waiting() fleet.WaitBounds {
	from, first := r.job.ReceivedAt, r.job.ReceivedAt.Add(-r.result.SinceFirstTry)
	if r.result.ResponseStarted {
		from, first = r.lastPart, r.lastPart
	}
	return fleet.WaitBounds{
		FirstEventBy: first.Add(r.job.Route.Aim - aimMargin),
		GiveUpAt:     from.Add(max(time.Duration(patienceAims*float64(r.job.Route.Aim)), leastPatience)),
	}
}

// noLease says why there was no replica.
func (r *run) noLease() Reason {
	if r.ctx.Err() != nil {
		return r.stopReason()
	}
	if r.quarantined() {
		return ReasonQuarantined
	}
	if r.f.Fleet.TimeUntilAvailable(r.query()) > 0 {
		if r.f.Fleet.AllLimited(r.job.Service.Name, r.f.Clock.Now()) {
			return ReasonRateLimited
		}
		return ReasonReplicaBackoff
	}
	if all, _ := r.f.Fleet.Count(r.job.Service.Name, r.f.Clock.Now()); all == 0 {
		return ReasonNoReplica
	}
	return ReasonBusy
}

// maySend tells whether the request may be sent to a replica now, and if not, why. It is
// asked after each wait, since all of it may have changed meanwhile.
func (r *run) maySend() (Reason, bool) {
	switch {
	case r.ctx.Err() != nil:
		return r.stopReason(), false
	case r.over():
		return ReasonTimeout, false
	case r.job.Account != nil && !r.f.ConfigFresh():
		return ReasonStaleConfig, false
	case r.quarantined():
		return ReasonQuarantined, false
	}
	return ReasonNone, true
}

// mayTry tells whether another attempt may be made, and if not, why.
func (r *run) mayTry() (Reason, bool) {
	if why, ok := r.maySend(); !ok {
		return why, false
	}
	if r.result.Attempts == 0 || r.withheld {
		return ReasonNone, true
	}
	if r.result.Attempts >= r.job.Route.Attempts {
		return r.result.Reason, false
	}
	if r.mayHaveRun && !r.job.Route.Repeats() {
		return r.result.Reason, false
	}
	if !r.f.RetryBudgets.Withdraw(r.job.Service.Name) {
		return ReasonRetryBudget, false
	}
	return ReasonNone, true
}

// over tells whether the request's time is over, also where the timer for that stood still.
func (r *run) over() bool {
	return !r.job.RespondBy.IsZero() && !r.f.Clock.Exact().Before(r.job.RespondBy)
}

// stopReason says why the request's context ended.
func (r *run) stopReason() Reason {
	if errors.Is(context.Cause(r.ctx), errTimeout) {
		return ReasonTimeout
	}
	return ReasonClientGone
}

// first notes the first byte of the answer.
func (r *run) first() {
	if r.result.FirstByte == 0 {
		r.result.FirstByte = r.f.Clock.Since(r.job.ReceivedAt)
	}
}

// logAttempt writes the line of one attempt: what it was decided on, and how it
// ended.
func (r *run) logAttempt(l *fleet.Lease, v fleet.Verdict, why Reason) {
	r.f.Meter.Count("graniteknot_attempts_total",
		meter.Label{Name: "service", Value: string(l.Replica.Service)}, meter.Label{Name: "verdict", Value: v.String()},
		meter.Label{Name: "reason", Value: string(why)})
	in := l.Inputs
	fields := []slog.Attr{
		slog.String("request", string(r.job.ID)), slog.Int("attempt", r.result.Attempts),
		slog.String("replica", l.Replica.Life().String()), slog.String("address", string(l.Replica.Address)),
		slog.String("verdict", v.String()), eventlog.Milliseconds("since_arrival", r.f.Clock.Since(r.job.ReceivedAt)),
		slog.Int("own", in.Own), slog.Int("others", in.Others), slog.Int("room", in.Capacity), slog.Float64("skew", in.Skew), slog.Bool("trial", in.Probe),
		eventlog.Milliseconds("pass", in.Pass), eventlog.Milliseconds("report_age", in.ReportAge), eventlog.Milliseconds("waited", in.Waited),
	}
	if in.Permit {
		fields = append(fields, slog.Bool("permit", true))
	}
	fields = append(fields, said(&r.said)...)
	if why == ReasonNone {
		r.f.Log.Info("attempt", fields...)
		return
	}
	if r.identity != nil {
		fields = append(fields, slog.String("identity", r.identity.String()))
	}
	r.f.Log.Warn("attempt", append(fields, slog.String("reason", string(why)))...)
}
