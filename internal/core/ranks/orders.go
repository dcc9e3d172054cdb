package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
)

// sendOrders sends orders to their ranks and waits briefly for the answers. It reports
// whether all were answered in time.
func (c *Coordinator) sendOrders(ctx context.Context, orders []held.Order, now time.Time) bool {
	if len(orders) == 0 {
		return false
	}
	calls := newPendingCalls(len(orders))
	var relayed []held.Order
	for _, o := range orders {
		if o.Kind == held.KindPrepare {
			if now.Sub(c.preparedAt[o.Rank]) < c.maxLoadTime()+prepareRetryDelay {
				calls.done()
				continue
			}
			c.preparedAt[o.Rank] = now
		}
		c.recordSteps(&o)
		if c.subtrees != nil && o.Kind != held.KindHold && !c.Members[o.Rank].needsDirectCall(now) {
			relayed = append(relayed, o)
			continue
		}
		c.Members[o.Rank].sendOrder(c.command(&o), now, calls.done)
	}
	c.sendBatches(relayed, now, calls.done)
	return calls.wait(ctx, replyWait)
}

// sendBatches groups equal orders by subtree and sends each group through one relay.
func (c *Coordinator) sendBatches(orders []held.Order, now time.Time, done func()) {
	type batch struct {
		subtreeIndex int
		order        held.Order
	}
	batches := map[batch][]*Member{}
	for _, o := range orders {
		common := o
		common.Rank = 0
		b := batch{subtreeIndex: c.Members[o.Rank].subtreeIndex, order: common}
		batches[b] = append(batches[b], c.Members[o.Rank])
	}
	for b, members := range batches {
		sendThroughRelay(members, c.command(&b.order), now, done)
	}
}

// command adds the fencing token and, for a prepare order, the map and its base.
func (c *Coordinator) command(order *held.Order) *held.Command {
	command := &held.Command{Order: *order, Fence: c.Fence}
	if order.Kind == held.KindPrepare {
		command.Placement = c.pending
		if c.slotsKnown {
			command.Base, command.BaseVersion = c.placement, c.mapping
		}
	}
	return command
}

// recordSteps stores the steps of hold and arm orders, which must not change until the
// group has passed them.
func (c *Coordinator) recordSteps(o *held.Order) {
	switch o.Kind {
	case held.KindHold:
		c.desired.HoldStep = o.Step
	case held.KindArm:
		c.desired.ArmStep = o.Step
	case held.KindPrepare, held.KindRelease:
	}
}

// maxLoadTime returns how long a rank takes to load as many experts as it has spare slots
// for.
func (c *Coordinator) maxLoadTime() time.Duration {
	experts := c.Engine.Experts
	if experts.Bandwidth <= 0 {
		return prepareRetryDelay
	}
	return time.Duration(float64(experts.Spare*experts.Sets) * float64(experts.Size) / experts.Bandwidth * float64(time.Second))
}
