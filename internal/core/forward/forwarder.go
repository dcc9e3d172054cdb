package forward

import (
	"context"
	"errors"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/eventstream"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/membudget"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/quarantine"
)

// Forwarder sends requests to replicas. Set the exported fields.
type Forwarder struct {
	Codec        Codec
	Pool         *conns.Pool
	Fleet        *fleet.Table
	RetryBudgets *RetryBudgets
	Log          *eventlog.Log
	Meter        *meter.Meter
	Zone         graniteknot.AvailabilityZone
	// Regions names the regions of zones.
	Regions catalog.ZoneRegions
	// Clock decides ages and deadlines.
	Clock graniteknot.AgeClock
	// ConfigFresh reports whether the configuration is recent enough to trust an API key.
	ConfigFresh func() bool
	// RetryDetector detects requests that their client has sent before.
	RetryDetector RetryDetector
	// ConnLimit is the greatest number of connections from this process to one replica of a
	// service.
	ConnLimit func(*catalog.Service) int
	// Quarantine holds the requests that must not reach replicas; nil disables it.
	Quarantine *quarantine.Table
	// ForwardBy returns until when a request may be forwarded that has to be answered by a time; zero stands for
	// none in both. nil is no bound.
	ForwardBy func(respondBy time.Time) time.Time
	// Buffered counts the bytes of responses that are held; nil is unbounded.
	Buffered *membudget.Budget

	crashes crashDetector
	// deadlines holds the deadlines of the requests in progress.
	deadlines deadlineSet
}

const (
	// latencyMargin is the part of a route's latency target reserved for the network between
	// client and replica.
	latencyMargin = 25 * time.Millisecond
	// queueWaitFactor bounds the wait for capacity, as a multiple of the route's latency
	// target. Clients abandon a stream that delivers nothing for four times that target.
	queueWaitFactor = 3
	// minQueueWait is the least such bound, for routes without a latency target.
	minQueueWait = 500 * time.Millisecond
)

var errTimeout = errors.New("the request's deadline has passed")

// Do forwards a request, writes the response to sink and returns how the request ended.
func (f *Forwarder) Do(parent context.Context, request *RoutedRequest, sink Sink) Result {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	defer f.deadlines.add(request.RespondBy, f.Clock.Until(request.RespondBy), func() { cancel(errTimeout) })()
	r := &inflightRequest{f: f, request: request, sink: sink, ctx: ctx}
	r.order.Resume(string(request.LastEventID))
	defer r.releaseBodies()
	r.result.SinceFirstTry = f.RetryDetector.SinceFirstTry(request.Route, request.Request)
	r.runAttempts()
	r.recordAnswered()
	return r.result
}

// inflightRequest is the state of one call of Do.
type inflightRequest struct {
	f       *Forwarder
	request *RoutedRequest
	sink    Sink
	ctx     context.Context //nolint:containedctx // It spans exactly the request.

	tried []catalog.Life
	// mayHaveRun is set once an attempt may have run: its replica did not state otherwise.
	mayHaveRun bool
	// order decides which events the client gets.
	order eventstream.Order
	// aborter aborts the current attempt; nil before the first.
	aborter *attemptAborter
	// lastEventAt is when events were last sent to the client; zero before the first.
	lastEventAt time.Time
	// fallback is a replica's own error response, returned if no other attempt succeeds.
	fallback *response
	// complete is a response that is still to be written to the client. It is written once the
	// replica's slot is free, since the client may read slowly.
	complete *response
	// bodies are those of the responses that were buffered.
	bodies []*membudget.Buffer
	result Result
	// connBroken is set if the last attempt's connection broke during the request.
	connBroken bool
	// withheld is set if nothing was sent, since the replica started to back off, leave or
	// limit its rate while the request waited for a connection.
	withheld bool
	// metadata is that of the last attempt's response.
	metadata ResponseMetadata
	// cachedSubject is the request's subject, computed on first use.
	cachedSubject *quarantine.Subject
	// trial is set until the first attempt has ended if the request is let through to try a
	// quarantined part of its prompt.
	trial bool
	// attemptStartedAt is when the current attempt's first event arrived; zero before.
	attemptStartedAt time.Time
	// unframed is set if the response ended with its connection.
	unframed bool
	// mayStopAt is from when on the current attempt's replica may stop since its time has passed.
	mayStopAt time.Time
	// endAssumed is set while another replica is asked whether events follow a stream that may be whole.
	endAssumed bool
	// endDoubtful is set if the replica that ended that stream may have ended itself.
	endDoubtful bool
	// trace is that of the current attempt's stream.
	trace streamTrace
}

// step is what follows an attempt.
type step uint8

const (
	// stepDone ends the request; the result is set.
	stepDone step = iota
	// stepRetry makes another attempt if one is allowed.
	stepRetry
)

// runAttempts makes attempts until the request has a result.
func (r *inflightRequest) runAttempts() {
	f := r.f
	f.RetryBudgets.RecordFirstAttempt(r.request.Service.Name)
	for {
		if reason, ok := r.mayAttempt(); !ok {
			r.giveUp(reason)
			return
		}
		lease := r.acquire()
		if lease == nil {
			r.giveUp(r.noLeaseReason())
			return
		}
		if reason, ok := r.maySend(); !ok {
			lease.End(fleet.VerdictNone, f.Clock.Now())
			r.giveUp(reason)
			return
		}
		r.result.Attempts++
		r.connBroken, r.withheld, r.metadata, r.attemptStartedAt, r.trace = false, false, ResponseMetadata{}, time.Time{}, streamTrace{}
		r.result.Replica = lease.Replica.Life().String()
		next, verdict, reason := r.attempt(lease)
		lease.End(verdict, f.Clock.Now())
		if r.complete != nil {
			r.writeResponse(r.complete)
			reason = r.result.Reason
		}
		if r.connBroken {
			r.checkCrash(lease)
		}
		if r.withheld {
			r.result.Attempts--
			continue
		}
		r.trial = false
		r.logAttempt(lease, verdict, reason)
		if next == stepDone {
			return
		}
		r.tried = append(r.tried, lease.Replica.Life())
		r.result.Reason = reason
	}
}

func (r *inflightRequest) query() *fleet.Query {
	now := r.f.Clock.Now()
	q := &fleet.Query{
		Service: r.request.Service, Size: r.request.Size, Urgency: r.request.Urgency(), MaxGap: r.request.Route.GapAim,
		Tried: r.tried, Zone: r.f.Zone, Now: now, RequestedAt: now, Returned: r.request.Returned, Promised: r.request.Promised,
		Allowed: r.allowedZones(),
	}
	if r.request.Account != nil {
		q.Account = r.request.Account.Name
	}
	return q
}

// waitBounds limits the wait for capacity. For a request that its client retries, the
// latency target counts from the first try. A stream that broke waits as if it had just
// arrived, since its client measures the pause.
func (r *inflightRequest) waitBounds() fleet.WaitBounds {
	from, first := r.request.ReceivedAt, r.request.ReceivedAt.Add(-r.result.SinceFirstTry)
	if r.result.ResponseStarted {
		from, first = r.lastEventAt, r.lastEventAt
	}
	if r.endAssumed {
		now := r.f.Clock.Now()
		return fleet.WaitBounds{FirstEventBy: now, GiveUpAt: now}
	}
	bounds := fleet.WaitBounds{
		FirstEventBy: first.Add(r.request.Route.Aim - latencyMargin),
		GiveUpAt:     from.Add(max(time.Duration(queueWaitFactor*float64(r.request.Route.Aim)), minQueueWait)),
	}
	if by := r.forwardBy(); !by.IsZero() && by.Before(bounds.GiveUpAt) {
		bounds.GiveUpAt = by
	}
	return bounds
}

// noLeaseReason returns why no replica could be acquired.
func (r *inflightRequest) noLeaseReason() Reason {
	if r.ctx.Err() != nil {
		return r.cancelReason()
	}
	if r.tooLate() {
		return ReasonStopping
	}
	if r.blocked() {
		return ReasonQuarantined
	}
	if r.f.Fleet.NoneAllowed(r.query()) {
		return ReasonNoRegion
	}
	if r.f.Fleet.TimeUntilAvailable(r.query()) > 0 {
		if r.f.Fleet.AllLimited(r.request.Service.Name, r.f.Clock.Now()) {
			return ReasonRateLimited
		}
		return ReasonReplicaBackoff
	}
	if all, _ := r.f.Fleet.Count(r.request.Service.Name, r.f.Clock.Now()); all == 0 {
		return ReasonNoReplica
	}
	return ReasonBusy
}

// maySend reports whether the request may be sent to a replica now, and if not, why. It is
// checked again after each wait, since each condition may have changed meanwhile.
func (r *inflightRequest) maySend() (Reason, bool) {
	switch {
	case r.ctx.Err() != nil:
		return r.cancelReason(), false
	case r.timedOut():
		return ReasonTimeout, false
	case r.tooLate():
		return ReasonStopping, false
	case r.request.Account != nil && !r.f.ConfigFresh():
		return ReasonStaleConfig, false
	case r.blocked():
		return ReasonQuarantined, false
	}
	return ReasonNone, true
}

// mayAttempt reports whether another attempt may be made, and if not, why.
func (r *inflightRequest) mayAttempt() (Reason, bool) {
	if reason, ok := r.maySend(); !ok {
		return reason, false
	}
	if r.result.Attempts == 0 || r.withheld {
		return ReasonNone, true
	}
	if r.result.Attempts >= r.request.Route.Attempts {
		return r.result.Reason, false
	}
	if r.mayHaveRun && !r.request.Route.Repeats() || !r.order.Resumable() {
		return r.result.Reason, false
	}
	if !r.f.RetryBudgets.Withdraw(r.request.Service.Name) {
		return ReasonRetryBudget, false
	}
	return ReasonNone, true
}

// timedOut reports whether the deadline has passed, also if its timer stood still while the
// box was suspended.
func (r *inflightRequest) timedOut() bool {
	return !r.request.RespondBy.IsZero() && !r.f.Clock.Exact().Before(r.request.RespondBy)
}

// cancelReason returns why the request's context was canceled.
func (r *inflightRequest) cancelReason() Reason {
	if errors.Is(context.Cause(r.ctx), errTimeout) {
		return ReasonTimeout
	}
	return ReasonClientGone
}
