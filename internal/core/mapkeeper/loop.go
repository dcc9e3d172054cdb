// Package mapkeeper keeps one rank group's expert map: at each period it takes
// in token counts, plans, and switches the group batch by batch. Deciding what
// to move is left to package planner, switching to package expertmap, and
// reaching the ranks to its user.
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
	// resendPeriod is how often unanswered messages are sent again.
	resendPeriod = 20 * time.Millisecond
	// switchTime bounds one switch before it is given up.
	switchTime = 5 * time.Second
)

// Transport reaches the ranks of a group.
type Transport interface {
	// Send brings a message to its rank and returns the answer, if there is
	// one now.
	Send(m expertmap.Message) (expertmap.Message, bool)
	// Offer makes a map known, so that ranks can load it.
	Offer(v expertmap.Version, p *planner.Placement)
	// Counts returns the tokens of each expert since the last call.
	Counts() planner.Loads
}

// Loop keeps one group's map. Set the exported fields.
type Loop struct {
	Transport   Transport
	Planner     *planner.Planner
	Coordinator *expertmap.Keeper
	// Placement is the map in force at the begin.
	Placement *planner.Placement
	// Weights returns what skew and moving weigh now; nil leaves the planner's.
	Weights func() planner.Weights
	// PlanInterval is the time between plans.
	PlanInterval time.Duration
	// ExpertSize is the size of one expert of one layer.
	ExpertSize graniteknot.Bytes

	switches, abandoned, moves atomic.Int64
}

// Stats is what a loop did.
type Stats struct {
	Switches, Abandoned, Moves int64
	Bytes                      graniteknot.Bytes
}

// Stats returns what the loop did.
func (l *Loop) Stats() Stats {
	moves := l.moves.Load()
	return Stats{
		Switches: l.switches.Load(), Abandoned: l.abandoned.Load(), Moves: moves,
		Bytes: graniteknot.Bytes(moves) * l.ExpertSize,
	}
}

// Run keeps the map until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	l.settle(ctx, l.Coordinator.Tick())
	ticker := time.NewTicker(l.PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.replace(ctx)
		l.plan(ctx)
	}
}

// replace follows up when a rank was replaced by one that knows nothing.
func (l *Loop) replace(ctx context.Context) {
	l.exchange(l.Coordinator.Tick())
	if born, lost := l.Coordinator.Stranger(); lost {
		next := max(born, graniteknot.NewIncarnation(time.Now())) + 1
		l.settle(ctx, l.Coordinator.Adopt(next))
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
			// What was planned on top of it does not fit any more.
			return
		}
	}
}

// switchTo brings one batch into force.
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
	l.settle(ctx, messages)
	if l.Coordinator.Current() != version {
		l.abandoned.Add(1)
		return false
	}
	l.switches.Add(1)
	l.Placement = next
	return true
}

// settle exchanges messages until the keeper is idle, giving a switch up that
// takes too long.
func (l *Loop) settle(ctx context.Context, messages []expertmap.Message) {
	l.exchange(messages)
	timer := time.NewTimer(switchTime)
	defer timer.Stop()
	ticker := time.NewTicker(resendPeriod)
	defer ticker.Stop()
	for l.Coordinator.Phase() != expertmap.PhaseIdle {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.exchange(l.Coordinator.GiveUp())
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
