package orders

import (
	"context"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// Queue is the target's queue, as far as orders go.
type Queue interface {
	// Hold stops new work from starting, or lets it start again.
	Hold(held bool)
	// Running returns how many requests run.
	Running() int
}

// Giver gives one target its orders. Set the exported fields.
type Giver struct {
	Target graniteknot.OrderTaker
	Queue  Queue
	// Incarnation is the agent's; its time is the birth.
	Incarnation graniteknot.Incarnation
	// Checks tells that the target itself checks fences.
	Checks func() bool
	// Warm is called after an order, before work goes on; it may be nil.
	Warm func(ctx context.Context)
	// NoWait takes the waits out, for the test that shows that they are needed.
	NoWait bool

	mu sync.Mutex
	// sequence counts the orders given.
	sequence uint64
	// given holds what the target was ordered last, for each kind; an order is
	// in it only once it took effect.
	given map[graniteknot.OrderKind]string
	// late is the order that failed last and may still arrive until lateUntil.
	late      graniteknot.Order
	lateUntil time.Time
}

// Want makes the target have a name of a kind. It returns once it has, or ctx
// is done. A name that was ordered by this agent before is not ordered again.
func (g *Giver) Want(ctx context.Context, kind graniteknot.OrderKind, name string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.given[kind] == name {
		return nil
	}
	if err := g.outliveFormer(ctx); err != nil {
		return err
	}
	if err := g.outliveLate(ctx, kind, name); err != nil {
		return err
	}
	g.Queue.Hold(true)
	defer g.Queue.Hold(false)
	if err := g.drained(ctx); err != nil {
		return err
	}
	if err := g.give(ctx, kind, name); err != nil {
		return err
	}
	if g.Warm != nil {
		g.Warm(ctx)
	}
	return nil
}

// outliveFormer waits until nothing of a former agent can arrive any more.
func (g *Giver) outliveFormer(ctx context.Context) error {
	birth := time.UnixMicro(int64(g.Incarnation))
	return g.outlive(ctx, birth.Add(Life+skew))
}

// outliveLate waits until an order of another content that failed can't arrive
// any more; one of the same content does no harm.
func (g *Giver) outliveLate(ctx context.Context, kind graniteknot.OrderKind, name string) error {
	same := g.late.Kind == kind && g.late.Name == name
	if same {
		return nil
	}
	return g.outlive(ctx, g.lateUntil)
}

// outlive waits until a time, or until the target checks fences, which may come into force meanwhile.
func (g *Giver) outlive(ctx context.Context, until time.Time) error {
	for !g.NoWait && (g.Checks == nil || !g.Checks()) && time.Now().Before(until) {
		if err := sleep(ctx, min(checksPoll, time.Until(until))); err != nil {
			return err
		}
	}
	return nil
}

// drained waits until the target runs nothing.
func (g *Giver) drained(ctx context.Context) error {
	for g.Queue.Running() > 0 {
		if err := sleep(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// give sends the order until it took effect. A try that failed may still arrive
// within its life; the next one has a higher fence and the same content, so the
// order in which they arrive does not matter.
func (g *Giver) give(ctx context.Context, kind graniteknot.OrderKind, name string) error {
	for {
		g.sequence++
		fence := graniteknot.Fence{Incarnation: g.Incarnation, Sequence: g.sequence}
		bounded, cancel := context.WithTimeout(ctx, Life)
		order := graniteknot.Order{Kind: kind, Name: name, Fence: fence}
		err := g.Target.Order(bounded, order)
		cancel()
		if err == nil {
			if g.given == nil {
				g.given = map[graniteknot.OrderKind]string{}
			}
			g.given[kind] = name
			return nil
		}
		g.late, g.lateUntil = order, time.Now().Add(Life+skew)
		if sleep(ctx, retryPause) != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
