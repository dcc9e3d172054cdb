package held_test

import (
	"cmp"
	"slices"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
)

// keeperSteps lists what one keeper can do: die, fence a rank, read the next
// rank, or act on what it read.
func (w world) keeperSteps(k int, u rules) []world {
	var out []world
	keeper := w.keepers[k]
	if !keeper.alive {
		if k == 1 && keeper.fence == 0 && w.span.keepers > 1 {
			// A second keeper claims, whatever the first one does.
			w.keepers[1] = keeperModel{alive: true, fence: 2}
			out = append(out, w)
		}
		return out
	}
	if w.span.missing && k == 1 && !keeper.without && keeper.reading == 0 {
		out = append(out, w.beginWithout())
	}
	if keeper.without {
		return append(out, w.goWithout(u))
	}
	if int(keeper.fenced) < searchRanks && !u.noFence {
		return append(out, w.fenceNext(k))
	}
	if r := int(keeper.reading); r < searchRanks {
		if w.span.late && keeper.seen[r].Epoch != 0 {
			unread := w
			unread.keepers[k].reading++
			out = append(out, unread)
		}
		return append(out, w.readNext(k))
	}
	return append(out, w.act(k, u))
}

// beginWithout has the second keeper find that the first one's rank can't be
// reached.
func (w world) beginWithout() world {
	w.keepers[1].without = true
	return w
}

// goWithout makes the second keeper's fence known to its own rank, reads it, and
// acts.
func (w world) goWithout(u rules) world {
	const rank = 1
	keeper := &w.keepers[1]
	keeper.without = false
	w.doers[rank] = max(w.doers[rank], keeper.fence)
	if !u.noFence {
		w.ranks[rank].fence = max(w.ranks[rank].fence, keeper.fence)
	}
	var states [searchRanks]held.State
	states[rank] = w.ranks[rank].state
	wish := held.CoordinatorState{ArmStep: keeper.armAt}
	if u.noArmed {
		wish.ArmStep = held.NoStep
	}
	d := held.DecideWithMissingRank(states[:], 0, wish)
	keeper.freed = max(keeper.freed, d.ReleasedStep)
	for _, o := range d.Orders {
		w.send(1, o)
	}
	return w
}

func (w world) fenceNext(k int) world {
	keeper := &w.keepers[k]
	r := keeper.fenced
	if w.doers[r] > keeper.fence || w.ranks[r].fence > keeper.fence {
		keeper.alive = false
		return w
	}
	w.doers[r], w.ranks[r].fence = keeper.fence, keeper.fence
	keeper.fenced++
	return w
}

func (w world) readNext(k int) world {
	keeper := &w.keepers[k]
	r := keeper.reading
	if w.doers[r] > keeper.fence {
		keeper.alive = false
		return w
	}
	w.doers[r] = keeper.fence
	keeper.seen[r] = w.ranks[r].state
	keeper.reading++
	return w
}

func (w world) act(k int, u rules) world {
	keeper := &w.keepers[k]
	keeper.reading = 0
	home := graniteknot.Rank((k + 1) % searchRanks)
	wish := held.CoordinatorState{NewVersion: keeper.wish, OwnRank: graniteknot.Rank(k), HoldRank: home, Lead: searchLead, HoldStep: keeper.hold, ArmStep: keeper.armAt}
	if !u.noFreed {
		wish.ReleasedStep = keeper.freed
	}
	known := keeper.seen
	for r := range known {
		known[r] = keeper.known(r, u)
	}
	d := held.Decide(known[:], wish)
	keeper.freed = max(keeper.freed, d.ReleasedStep)
	if keeper.wish != 0 && keeper.seen[0].Current >= keeper.wish && keeper.seen[1].Current >= keeper.wish {
		keeper.wish = 0
	}
	if d.Phase == held.PhaseIdle && keeper.wish == 0 && keeper.maps < w.span.maps {
		keeper.maps++
		keeper.wish = held.Version(10*keeper.fence + keeper.maps)
		keeper.hold, keeper.armAt = held.NoStep, held.NoStep
		keeper.seen = [searchRanks]held.State{}
		return w
	}
	orders := d.Orders
	if u.noHold && d.Phase == held.PhaseHolding {
		orders = armAll(orders[0].Step, keeper.seen[:])
	}
	if u.ownFirst && d.Phase == held.PhaseArming {
		orders = armAll(orders[0].Step, keeper.seen[:])
	}
	if u.noSeen && d.Phase == held.PhaseArming {
		orders = append(orders, goAll(keeper.seen[:])...)
	}
	for _, o := range orders {
		w.send(k, o)
	}
	if !w.span.late {
		w.keepers[k].seen = [searchRanks]held.State{}
	}
	return w
}

func armAll(at graniteknot.Step, states []held.State) []held.Order {
	var out []held.Order
	for r, s := range states {
		out = append(out, held.Order{Kind: held.KindArm, Rank: graniteknot.Rank(r), Version: s.Prepared, Step: at, Epoch: s.Epoch})
	}
	return out
}

func goAll(states []held.State) []held.Order {
	var out []held.Order
	for r, s := range states {
		if s.Held != held.NoStep {
			out = append(out, held.Order{Kind: held.KindRelease, Rank: graniteknot.Rank(r), Step: s.Held, Epoch: s.Epoch})
		}
	}
	return out
}

// send puts an order among those that may be carried out from now on.
func (w *world) send(k int, o held.Order) {
	keeper := &w.keepers[k]
	if w.doers[o.Rank] > keeper.fence {
		keeper.alive = false
		return
	}
	if o.Kind == held.KindHold {
		keeper.hold = o.Step
	}
	if o.Kind == held.KindArm {
		keeper.armAt = o.Step
	}
	x := orderModel{order: o, fence: keeper.fence}
	for i := range w.sent {
		if w.orders[i].order == x.order && w.orders[i].fence == x.fence {
			return
		}
	}
	if int(w.sent) == maxOrders {
		panic("more orders than a world holds")
	}
	w.orders[w.sent] = x
	w.sent++
	// The order in which they were sent does not matter.
	slices.SortFunc(w.orders[:w.sent], compareOrders)
}

func compareOrders(a, b orderModel) int {
	return cmp.Or(
		cmp.Compare(a.fence, b.fence), cmp.Compare(a.order.Kind, b.order.Kind), cmp.Compare(a.order.Rank, b.order.Rank),
		cmp.Compare(a.order.Version, b.order.Version), cmp.Compare(a.order.Step, b.order.Step),
		cmp.Compare(a.order.Epoch, b.order.Epoch),
	)
}
