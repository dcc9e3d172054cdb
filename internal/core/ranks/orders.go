package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
)

// sendOrders gives orders to their ranks and waits a little for their answers.
func (k *Coordinator) sendOrders(ctx context.Context, orders []held.Order, now time.Time) bool {
	if len(orders) == 0 {
		return false
	}
	w := newPendingCalls(len(orders))
	var together []held.Order
	for _, o := range orders {
		if o.Kind == held.KindPrepare {
			if now.Sub(k.preparedAt[o.Rank]) < k.maxLoadTime()+prepareRetryDelay {
				w.done()
				continue
			}
			k.preparedAt[o.Rank] = now
		}
		k.recordSteps(&o)
		if k.subtrees != nil && o.Kind != held.KindHold && !k.Members[o.Rank].needsDirectCall(now) {
			together = append(together, o)
			continue
		}
		k.Members[o.Rank].sendOrder(k.command(&o), now, w.done)
	}
	k.sendBatches(together, now, w.done)
	return w.wait(ctx, replyWait)
}

// sendBatches gives orders through a few sidecars, each to the ranks of its part
// that get the same.
func (k *Coordinator) sendBatches(orders []held.Order, now time.Time, done func()) {
	type batch struct {
		part  int
		order held.Order
	}
	batches := map[batch][]*Member{}
	for _, o := range orders {
		same := o
		same.Rank = 0
		b := batch{part: k.Members[o.Rank].subtreeIndex, order: same}
		batches[b] = append(batches[b], k.Members[o.Rank])
	}
	for b, members := range batches {
		sendThroughRelay(members, k.command(&b.order), now, done)
	}
}

// command is an order with what carries it.
func (k *Coordinator) command(o *held.Order) *held.Command {
	c := &held.Command{Order: *o, Fence: k.Fence}
	if o.Kind == held.KindPrepare {
		c.Placement = k.pending
		c.Base, c.BaseVersion = k.placement, k.mapping
	}
	return c
}

// recordSteps notes the steps that must not change until they are passed.
func (k *Coordinator) recordSteps(o *held.Order) {
	switch o.Kind {
	case held.KindHold:
		k.desired.Hold = o.Step
	case held.KindArm:
		k.desired.ArmAt = o.Step
	case held.KindPrepare, held.KindGo:
	}
}

// maxLoadTime is how long a rank takes to load all it may.
func (k *Coordinator) maxLoadTime() time.Duration {
	e := k.Engine.Experts
	if e.Bandwidth <= 0 {
		return prepareRetryDelay
	}
	return time.Duration(float64(e.Spare*e.Sets) * float64(e.Size) / e.Bandwidth * float64(time.Second))
}
