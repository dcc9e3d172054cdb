package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
)

// give gives orders to their ranks and waits a little for their answers.
func (k *Coordinator) give(ctx context.Context, orders []held.Order, now time.Time) bool {
	if len(orders) == 0 {
		return false
	}
	w := newWaiter(len(orders))
	var together []held.Order
	for _, o := range orders {
		if o.Kind == held.KindPrepare {
			if now.Sub(k.prepared[o.Rank]) < k.loading()+prepareAgain {
				w.done()
				continue
			}
			k.prepared[o.Rank] = now
		}
		k.remember(&o)
		if k.parts != nil && o.Kind != held.KindHold && !k.Members[o.Rank].overdue(now) {
			together = append(together, o)
			continue
		}
		k.Members[o.Rank].give(k.command(&o), now, w.done)
	}
	k.giveTogether(together, now, w.done)
	return w.wait(ctx, roundWait)
}

// giveTogether gives orders through a few sidecars, each to the ranks of its part
// that get the same.
func (k *Coordinator) giveTogether(orders []held.Order, now time.Time, done func()) {
	type batch struct {
		part  int
		order held.Order
	}
	batches := map[batch][]*Member{}
	for _, o := range orders {
		same := o
		same.Rank = 0
		b := batch{part: k.Members[o.Rank].part, order: same}
		batches[b] = append(batches[b], k.Members[o.Rank])
	}
	for b, members := range batches {
		giveAll(members, k.command(&b.order), now, done)
	}
}

// command is an order with what carries it.
func (k *Coordinator) command(o *held.Order) *held.Command {
	c := &held.Command{Order: *o, Fence: k.Fence}
	if o.Kind == held.KindPrepare {
		c.Placement = k.offered
		c.Base, c.BaseVersion = k.placement, k.mapping
	}
	return c
}

// remember notes the steps that must not change until they are passed.
func (k *Coordinator) remember(o *held.Order) {
	switch o.Kind {
	case held.KindHold:
		k.wish.Hold = o.Step
	case held.KindArm:
		k.wish.ArmAt = o.Step
	case held.KindPrepare, held.KindGo:
	}
}

// loading is how long a rank takes to load all it may.
func (k *Coordinator) loading() time.Duration {
	e := k.Engine.Experts
	if e.Bandwidth <= 0 {
		return prepareAgain
	}
	return time.Duration(float64(e.Spare*e.Sets) * float64(e.Size) / e.Bandwidth * float64(time.Second))
}
