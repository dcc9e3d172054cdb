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
		if o.Step > s.Step && s.Held == held.NoStep {
			s.Held = o.Step
		}
	case held.KindArm:
		if s.Prepared == o.Version && o.Step > s.Step {
			s.Armed, s.ArmedAt = o.Version, o.Step
		}
	case held.KindRelease:
		if s.Held == o.Step {
			s.Held = held.NoStep
		}
	}
}
