package held_test

import (
	"cmp"
	"slices"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
)

const (
	searchRanks = 2
	searchSteps = 3
	searchLead  = 1
	maxOrders   = 24
)

// span is how far a search goes.
type span struct {
	// keepers is how many there are at once, 1 or 2; breaks is how often the
	// group is formed anew; maps is how many maps each keeper brings.
	keepers, breaks, maps uint8
	// missing lets the second keeper go on without the first one's rank.
	missing bool
}

// rules are those that a search may take out.
type rules struct {
	// noHold lets arms go out without a held step, noSeen lets the step go on
	// before all ranks were seen to be armed.
	noHold, noSeen bool
	// noEpoch lets ranks take orders of another epoch.
	noEpoch bool
	// noFence lets ranks take orders of former keepers, and a new keeper begin
	// without making its fence known.
	noFence bool
	// ownFirst arms the keeper's own rank with the others.
	ownFirst bool
	// noFreed lets the keeper arm for a step that it has let go.
	noFreed bool
	// noArmed lets the keeper go on without a rank after it has sent arms.
	noArmed bool
}

// rankModel is one rank as the platform's pages describe it.
type rankModel struct {
	state held.State
	// highest is the newest map that the rank was ever told to prepare.
	highest held.Version
	fence   uint8
}

// keeperModel is a keeper somewhere in a round.
type keeperModel struct {
	alive bool
	fence uint8
	// fenced counts the ranks that know the fence.
	fenced uint8
	// reading is the next rank to read; seen are those read in this round.
	reading uint8
	seen    [searchRanks]held.State
	hold    graniteknot.Step
	armAt   graniteknot.Step
	wish    held.Version
	freed   graniteknot.Step
	// without tells that the first keeper's rank could not be read.
	without bool
	// maps counts the maps that the keeper brought.
	maps uint8
}

// orderModel is an order that was sent; it may be carried out at any time and
// any number of times.
type orderModel struct {
	order held.Order
	fence uint8
}

// world is one state of the search; it is comparable.
type world struct {
	ranks   [searchRanks]rankModel
	doers   [searchRanks]uint8
	keepers [2]keeperModel
	orders  [maxOrders]orderModel
	sent    uint8
	breaks  uint8
	span    span
}

func newWorld(s span) world {
	w := world{span: s}
	for r := range w.ranks {
		w.ranks[r].state = held.State{Epoch: 1, Open: true, Working: true}
	}
	w.keepers[0] = keeperModel{alive: true, fence: 1}
	return w
}

// apart tells whether two ranks run different maps.
func (w *world) apart() bool {
	for r := range w.ranks {
		if w.ranks[r].state.Mapping != w.ranks[0].state.Mapping {
			return true
		}
	}
	return false
}

// next lists every state that can follow.
func (w world) next(u rules) []world {
	var out []world
	if p, ok := w.pass(); ok {
		out = append(out, p)
	}
	for i := range w.sent {
		for r := range w.ranks {
			if int(w.orders[i].order.Rank) == r {
				if n, changed := w.carryOut(w.orders[i], u); changed {
					out = append(out, n)
				}
			}
		}
	}
	for k := range w.keepers {
		out = append(out, w.keeperSteps(k, u)...)
	}
	if w.breaks < w.span.breaks {
		out = append(out, w.broken())
	}
	return out
}

// pass begins the next pass, if no rank holds it.
func (w world) pass() (world, bool) {
	next := w.ranks[0].state.Step + 1
	if next > searchSteps {
		return w, false
	}
	for r := range w.ranks {
		if w.ranks[r].state.Held == next {
			return w, false
		}
	}
	for r := range w.ranks {
		s := &w.ranks[r].state
		s.Step = next
		if s.Armed != 0 && s.ArmedAt == next {
			s.Mapping, s.Armed, s.ArmedAt, s.Prepared = s.Armed, 0, 0, 0
		}
	}
	return w, true
}

// broken forms the group anew; the keepers do not know yet.
func (w world) broken() world {
	w.breaks++
	for r := range w.ranks {
		s := w.ranks[r].state
		w.ranks[r] = rankModel{state: held.State{Epoch: s.Epoch + 1, Open: true, Working: true, Step: s.Step}}
	}
	return w
}

func (w world) carryOut(o orderModel, u rules) (world, bool) {
	r := &w.ranks[o.order.Rank]
	before := *r
	if o.fence < r.fence && !u.noFence {
		return w, false
	}
	if o.order.Epoch != r.state.Epoch && !u.noEpoch {
		return w, false
	}
	r.fence = max(r.fence, o.fence)
	r.obey(o.order)
	return w, *r != before
}

func (r *rankModel) obey(o held.Order) {
	s := &r.state
	switch o.Kind {
	case held.KindPrepare:
		if o.Version > r.highest && s.Armed == 0 {
			r.highest, s.Prepared = o.Version, o.Version
		}
	case held.KindHold:
		if o.Step > s.Step && s.Held == held.Never {
			s.Held = o.Step
		}
	case held.KindArm:
		if s.Prepared == o.Version && o.Step > s.Step {
			s.Armed, s.ArmedAt = o.Version, o.Step
		}
	case held.KindGo:
		if s.Held == o.Step {
			s.Held = held.Never
		}
	}
}

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
	if int(keeper.reading) < searchRanks {
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
	wish := held.Wish{ArmAt: keeper.armAt}
	if u.noArmed {
		wish.ArmAt = held.Never
	}
	d := held.DecideWithout(states[:], 0, wish)
	keeper.freed = max(keeper.freed, d.Freed)
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
	wish := held.Wish{Version: keeper.wish, Own: graniteknot.Rank(k), Home: home, Lead: searchLead, Hold: keeper.hold, ArmAt: keeper.armAt}
	if !u.noFreed {
		wish.Freed = keeper.freed
	}
	d := held.Decide(keeper.seen[:], wish)
	keeper.freed = max(keeper.freed, d.Freed)
	if keeper.wish != 0 && keeper.seen[0].Mapping >= keeper.wish && keeper.seen[1].Mapping >= keeper.wish {
		keeper.wish = 0
	}
	if d.Phase == held.PhaseIdle && keeper.wish == 0 && keeper.maps < w.span.maps {
		keeper.maps++
		keeper.wish = held.Version(10*keeper.fence + keeper.maps)
		keeper.hold, keeper.armAt = held.Never, held.Never
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
	keeper = &w.keepers[k]
	keeper.seen = [searchRanks]held.State{}
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
		if s.Held != held.Never {
			out = append(out, held.Order{Kind: held.KindGo, Rank: graniteknot.Rank(r), Step: s.Held, Epoch: s.Epoch})
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
		if w.orders[i] == x {
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
