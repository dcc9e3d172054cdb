package held_test

import (
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
	// late lets keepers learn of carried out orders at any later time and decide on old reads.
	late bool
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
	// oldAnswers lets an answer change what a later read showed, and takes what contradicts it
	// for armed.
	oldAnswers bool
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
	// answered are the orders that the keeper learned to be carried out.
	answered [searchRanks]answersModel
}

// answersModel holds the last answered order of each kind at a rank.
type answersModel struct{ arm, hold, release held.Order }

// orderModel is an order that was sent; it may be carried out at any time and
// any number of times.
type orderModel struct {
	order held.Order
	fence uint8
	// done tells that it was carried out.
	done bool
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
		w.ranks[r].state = held.State{Epoch: 1, GroupRunning: true, HasRequests: true}
	}
	w.keepers[0] = keeperModel{alive: true, fence: 1}
	return w
}

// apart tells whether two ranks run different maps.
func (w *world) apart() bool {
	for r := range w.ranks {
		if w.ranks[r].state.Current != w.ranks[0].state.Current {
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
		if n, changed := w.carryOut(int(i), u); changed {
			out = append(out, n)
		}
		if n, changed := w.answer(int(i)); changed {
			out = append(out, n)
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
			s.Current, s.Armed, s.ArmedAt, s.Prepared = s.Armed, 0, 0, 0
		}
	}
	return w, true
}

// broken forms the group anew; the keepers do not know yet.
func (w world) broken() world {
	w.breaks++
	for r := range w.ranks {
		s := w.ranks[r].state
		w.ranks[r] = rankModel{state: held.State{Epoch: s.Epoch + 1, GroupRunning: true, HasRequests: true, Step: s.Step}}
	}
	return w
}

func (w world) carryOut(i int, u rules) (world, bool) {
	o := &w.orders[i]
	r := &w.ranks[o.order.Rank]
	before, wasDone := *r, o.done
	if o.fence < r.fence && !u.noFence {
		return w, false
	}
	if o.order.Epoch != r.state.Epoch && !u.noEpoch {
		return w, false
	}
	r.fence = max(r.fence, o.fence)
	if r.obey(o.order) && w.span.late {
		o.done = true
	}
	return w, *r != before || o.done != wasDone
}

// obey carries an order out; false if it does not fit the state.
func (r *rankModel) obey(o held.Order) bool {
	s := &r.state
	switch {
	case o.Kind == held.KindPrepare && o.Version > r.highest && s.Armed == 0:
		r.highest, s.Prepared = o.Version, o.Version
	case o.Kind == held.KindHold && o.Step > s.Step && s.Held == held.NoStep:
		s.Held = o.Step
	case o.Kind == held.KindArm && s.Prepared == o.Version && o.Step > s.Step:
		s.Armed, s.ArmedAt = o.Version, o.Step
	case o.Kind == held.KindRelease && s.Held == o.Step:
		s.Held = held.NoStep
	default:
		return false
	}
	return true
}

// answer tells the keeper that an order was carried out, at some time after that.
func (w world) answer(i int) (world, bool) {
	o := &w.orders[i]
	keeper := &w.keepers[o.fence-1]
	if !o.done || !keeper.alive {
		return w, false
	}
	last := keeper.answered[o.order.Rank].last(o.order.Kind)
	if last == nil || o.order.Epoch < last.Epoch || o.order.Epoch == last.Epoch && o.order.Step <= last.Step {
		return w, false
	}
	*last = o.order
	return w, true
}

// last returns the last answered order of a kind; nil for kinds that are not kept.
func (a *answersModel) last(k held.Kind) *held.Order {
	switch k {
	case held.KindArm:
		return &a.arm
	case held.KindHold:
		return &a.hold
	case held.KindRelease:
		return &a.release
	case held.KindPrepare:
	}
	return nil
}

// known returns what a keeper takes for the state of a rank: its last read with the outcome of the orders that
// were answered.
func (k *keeperModel) known(r int, u rules) held.State {
	s, a := k.seen[r], &k.answered[r]
	changes := func(o *held.Order) bool {
		return o.Epoch == s.Epoch && (o.Step > s.Step || u.oldAnswers && o.Step != held.NoStep)
	}
	if changes(&a.arm) && s.Armed == 0 {
		s.Armed, s.ArmedAt = a.arm.Version, a.arm.Step
		if u.oldAnswers && s.ArmedAt <= s.Step {
			s.Armed, s.ArmedAt = s.Prepared, s.Step+searchLead
		}
	}
	if changes(&a.hold) && s.Held == held.NoStep {
		s.Held = a.hold.Step
	}
	if changes(&a.release) && s.Held == a.release.Step {
		s.Held = held.NoStep
	}
	return s
}
