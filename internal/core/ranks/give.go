package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
)

// give gives orders to their ranks and waits a little for their answers.
func (k *Keeper) give(ctx context.Context, orders []held.Order, now time.Time) {
	if len(orders) == 0 {
		return
	}
	w := newWaiter(len(orders))
	for _, o := range orders {
		c := &held.Command{Order: o, Fence: k.Fence}
		if o.Kind == held.KindPrepare {
			if now.Sub(k.prepared[o.Rank]) < k.loading()+prepareAgain {
				w.done()
				continue
			}
			k.prepared[o.Rank] = now
			c.Placement = k.offered
			c.Base, c.BaseVersion = k.placement, k.mapping
		}
		k.remember(&o)
		k.Members[o.Rank].give(c, now, w.done)
	}
	w.wait(ctx, roundWait)
}

// remember notes the steps that must not change until they are passed.
func (k *Keeper) remember(o *held.Order) {
	switch o.Kind {
	case held.KindHold:
		k.wish.Hold = o.Step
	case held.KindArm:
		k.wish.ArmAt = o.Step
	case held.KindPrepare, held.KindGo:
	}
}

// loading is how long a rank takes to load all it may.
func (k *Keeper) loading() time.Duration {
	e := k.Engine.Experts
	if e.Bandwidth <= 0 {
		return prepareAgain
	}
	return time.Duration(float64(e.Spare*e.Sets) * float64(e.Size) / e.Bandwidth * float64(time.Second))
}
