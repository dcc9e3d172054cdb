package relay

import (
	"context"
	"sync/atomic"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/core/retry"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/stream"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/route"
	"graniteknot.org/go/settings"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 8
	// firstPause is the wait before an authority is asked again; it doubles.
	firstPause = 20 * time.Millisecond
	// maxRejoins bounds how often one authority is asked for the same request.
	maxRejoins = 4
	// withdrawTime bounds one withdrawal.
	withdrawTime = time.Second
	// withdrawTries is how often a withdrawal is sent before it is given up.
	withdrawTries = 3
	// reportTime bounds the question for an agent's incarnation.
	reportTime = 500 * time.Millisecond
)

// RouteTables finds what is known of a service's targets.
type RouteTables interface {
	Table(s *settings.ServiceView) *route.Table
}

// Relay takes requests to their outcomes. Set the exported fields; Timeline
// and Counts may be nil.
type Relay struct {
	Agents      AgentClient
	RouteTables RouteTables
	Budget      *retry.Budget
	Zone        graniteknot.AvailabilityZone
	// Quarantine knows which requests end targets; nil for none.
	Quarantine *quarantine.Table
	Timeline   *timeline.Recorder
	Counts     *stream.Counts
	// Now is time.Now when nil.
	Now graniteknot.Clock

	attempts, resumed, rejoined, withdrawn atomic.Uint64
}

// Stats is what a relay did since its start.
type Stats struct {
	Attempts, Resumed, Rejoined, Withdrawn uint64
}

// Stats returns the counts.
func (r *Relay) Stats() Stats {
	return Stats{
		Attempts: r.attempts.Load(), Resumed: r.resumed.Load(),
		Rejoined: r.rejoined.Load(), Withdrawn: r.withdrawn.Load(),
	}
}

// Do takes a request to its outcome. The answer goes to sink as it comes.
func (r *Relay) Do(ctx context.Context, request *Request, sink Sink) Result {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	r.Budget.RecordFirstAttempt()
	run := &run{relay: r, request: request, sink: sink}
	var result Result
	if request.Repeatable {
		result = run.repeatable(ctx)
	} else {
		result = run.once(ctx)
	}
	run.note(timeline.KindOutcome, result.Outcome.String()+" "+string(result.Code))
	return result
}

// ChooseAuthority chooses an agent to decide on requests that may not be repeated,
// and learns its incarnation first if no report has told it yet: a new agent
// can't tell a new key from one that its former life may have run.
func (r *Relay) ChooseAuthority(ctx context.Context, s *settings.ServiceView, q *route.Query) (route.Choice, bool) {
	table := r.RouteTables.Table(s)
	choice, ok := table.Choose(q)
	if !ok || choice.Incarnation != 0 {
		return choice, ok
	}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	load, err := r.Agents.Report(ctx, choice.Address)
	if err == nil {
		table.UpdateLoad(choice.Address, LoadFromWire(load), r.now())
		choice.Incarnation = graniteknot.Incarnation(load.GetIncarnation())
	}
	return choice, true
}

// Reject ends a request that the entry itself turns away. A key that the
// caller may have sent elsewhere before is withdrawn at its authority first,
// so that "not-run" is true of all its tries.
func (r *Relay) Reject(ctx context.Context, request *Request, code Code, reason string) Result {
	run := &run{relay: r, request: request}
	if request.Repeatable || request.Key == "" {
		return run.result(graniteknot.OutcomeNotRun, code, reason)
	}
	authority, ok := run.authority(ctx)
	if !ok {
		return run.result(graniteknot.OutcomeUnknown, code, reason)
	}
	outcome := run.withdraw(ctx, authority)
	return run.result(outcome, code, reason)
}

func (r *Relay) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

func (r *Relay) stamp() uint64 {
	if r.Timeline == nil {
		return 0
	}
	return uint64(r.Timeline.Clock.Now())
}

func (r *Relay) observe(clock uint64) {
	if r.Timeline != nil && clock != 0 {
		r.Timeline.Clock.Observe(timeline.Stamp(clock))
	}
}

// LoadFromWire reads the load in a message.
func LoadFromWire(l *wire.Load) route.Load {
	return route.Load{
		Incarnation: graniteknot.Incarnation(l.GetIncarnation()),
		Queued:      int(l.GetQueued()),
		Running:     int(l.GetRunning()),
		Slots:       int(l.GetSlots()),
		Service:     time.Duration(l.GetServiceUs()) * time.Microsecond,
		Leaving:     l.GetLeaving(),
		Prefixes:    l.GetPrefixes(),
	}
}
