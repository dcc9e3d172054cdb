// Package mapkeeper maintains one rank group's expert map: which rank holds which experts.
// In each period it reads token counts, plans moves and switches the group batch by batch.
// Package planner chooses the moves, package expertmap holds the switching protocol, and
// the caller provides the transport to the ranks.
package mapkeeper

import (
	"context"
	"sync/atomic"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap"
	"graniteknot.org/go/planner"
)

const (
	// resendInterval is the time between retransmissions of unanswered messages.
	resendInterval = 20 * time.Millisecond
	// switchTimeout is the time after which a switch is given up.
	switchTimeout = 5 * time.Second
)

// Transport carries messages to the ranks of a group and provides their token counts.
type Transport interface {
	// Send delivers a message to its rank and returns the answer; false when there is none
	// yet.
	Send(m expertmap.Message) (expertmap.Message, bool)
	// Offer makes a map available for ranks to load.
	Offer(v expertmap.Version, p *planner.Placement)
	// Counts returns how many tokens each expert got since the last call.
	Counts() planner.Loads
}

// Loop maintains one group's map. Set the exported fields.
type Loop struct {
	Transport   Transport
	Planner     *planner.Planner
	Coordinator *expertmap.Coordinator
	// Placement is the map in force. Set it to the initial one.
	Placement *planner.Placement
	// Weights returns the current weights of skew and of moves; nil keeps the planner's.
	Weights func() planner.Weights
	// PlanInterval is the time between plans.
	PlanInterval time.Duration
	// ExpertSize is the size of one expert of one layer.
	ExpertSize graniteknot.Bytes

	switches, abandoned, moves atomic.Int64
}

// Stats counts switches, those that were given up, the expert moves sent, and their size.
type Stats struct {
	Switches, Abandoned, Moves int64
	Bytes                      graniteknot.Bytes
}

// Stats returns the counts since the loop was started.
func (l *Loop) Stats() Stats {
	moves := l.moves.Load()
	return Stats{
		Switches: l.switches.Load(), Abandoned: l.abandoned.Load(), Moves: moves,
		Bytes: graniteknot.Bytes(moves) * l.ExpertSize,
	}
}

// Run maintains the map until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	l.runToIdle(ctx, l.Coordinator.Tick())
	ticker := time.NewTicker(l.PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.adoptReplacedRank(ctx)
		l.plan(ctx)
	}
}

// adoptReplacedRank adopts all ranks under a higher incarnation if one was replaced by a
// rank without state.
func (l *Loop) adoptReplacedRank(ctx context.Context) {
	l.exchange(l.Coordinator.Tick())
	if incarnation, replaced := l.Coordinator.ReplacedRank(); replaced {
		next := max(incarnation, graniteknot.NewIncarnation(time.Now())) + 1
		l.runToIdle(ctx, l.Coordinator.Restart(next))
	}
}

func (l *Loop) plan(ctx context.Context) {
	l.Planner.Observe(l.Transport.Counts())
	if l.Weights != nil {
		l.Planner.Weights = l.Weights()
	}
	plan := l.Planner.Plan(l.Placement)
	for _, b := range plan.Batches {
		if !l.switchTo(ctx, b) {
			// Later batches build on the one that failed.
			return
		}
	}
}

// switchTo brings one batch into force. It reports whether that succeeded.
func (l *Loop) switchTo(ctx context.Context, b planner.Batch) bool {
	next := l.Placement.Clone()
	next.Apply(b)
	version := l.Coordinator.Current() + 1
	l.Transport.Offer(version, next)
	messages, err := l.Coordinator.Switch(version)
	if err != nil {
		return false
	}
	l.moves.Add(int64(len(b.Moves)))
	l.runToIdle(ctx, messages)
	if l.Coordinator.Current() != version {
		l.abandoned.Add(1)
		return false
	}
	l.switches.Add(1)
	l.Placement = next
	return true
}

// runToIdle exchanges messages until the coordinator is idle, and gives up a switch that
// takes too long.
func (l *Loop) runToIdle(ctx context.Context, messages []expertmap.Message) {
	l.exchange(messages)
	timer := time.NewTimer(switchTimeout)
	defer timer.Stop()
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for l.Coordinator.Phase() != expertmap.PhaseIdle {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.exchange(l.Coordinator.Abort())
		case <-ticker.C:
			l.exchange(l.Coordinator.Tick())
		}
	}
}

func (l *Loop) exchange(messages []expertmap.Message) {
	for len(messages) > 0 {
		m := messages[0]
		messages = messages[1:]
		if answer, ok := l.Transport.Send(m); ok {
			messages = append(messages, l.Coordinator.Handle(answer)...)
		}
	}
}
