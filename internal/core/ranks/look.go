package ranks

import (
	"context"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// looks returns what is known of all ranks; false when that is too little.
func (k *Coordinator) looks() (looks []seen, whole bool) {
	looks = make([]seen, len(k.Members))
	for i, m := range k.Members {
		last, at := m.shown()
		if k.Clock.Since(at) > lookAge {
			return nil, false
		}
		looks[i] = last
	}
	return looks, true
}

// ask asks all ranks and waits a little: those of a large group through a few
// sidecars, and the ones that are not reached so directly.
func (k *Coordinator) ask(ctx context.Context, r *wire.LookRequest, now time.Time) {
	direct := k.Members
	if k.parts != nil {
		direct = nil
		for _, m := range k.Members {
			if m.overdue(now) {
				direct = append(direct, m)
			}
		}
	}
	w := newWaiter(len(k.parts) + len(direct))
	for _, p := range k.parts {
		p.look(r, now, w.done)
	}
	for _, m := range direct {
		m.look(r, now, w.done)
	}
	w.wait(ctx, roundWait)
}

// otherFence returns the highest fence of another keeper that any rank told.
func (k *Coordinator) otherFence() graniteknot.Position {
	var highest graniteknot.Position
	for _, m := range k.Members {
		highest = max(highest, m.otherFence())
	}
	return highest
}

// home is the rank that holds: the one after the keeper's own.
func (k *Coordinator) home() graniteknot.Rank {
	return (k.OwnRank + 1) % graniteknot.Rank(len(k.Members))
}

// without goes on while some rank can't be read. If it is the former keeper's
// alone, the step that it held may begin.
func (k *Coordinator) without(ctx context.Context, now time.Time) time.Duration {
	states := make([]held.State, len(k.Members))
	var orders []held.Order
	for i, m := range k.Members {
		last, at := m.shown()
		states[i] = last.state
		if graniteknot.Rank(i) == k.FormerRank {
			continue
		}
		if at.IsZero() || k.Clock.Since(at) > lookAge || !last.state.Open || last.state.Epoch != k.epoch {
			// What was foretold is of a map that may be forgotten.
			k.forget()
		}
		if k.Clock.Since(at) > lookAge {
			k.enter(held.PhaseClosed)
			return idleRound
		}
		if !m.knowsFence() {
			orders = append(orders, held.Order{Kind: held.KindGo, Rank: graniteknot.Rank(i), Step: held.Never, Epoch: last.state.Epoch})
		}
	}
	if k.FormerRank == k.OwnRank {
		k.enter(held.PhaseClosed)
		return idleRound
	}
	if len(orders) > 0 {
		k.give(ctx, orders, now)
		return fastRound
	}
	d := held.DecideWithout(states, k.FormerRank, k.wish)
	k.wish.Freed = max(k.wish.Freed, d.Freed)
	k.enter(d.Phase)
	k.give(ctx, d.Orders, now)
	return idleRound
}

// fences returns an order to each rank that does not know the keeper's fence.
func (k *Coordinator) fences(states []held.State) []held.Order {
	var out []held.Order
	for r, m := range k.Members {
		if !m.knowsFence() {
			out = append(out, held.Order{Kind: held.KindGo, Rank: graniteknot.Rank(r), Step: held.Never, Epoch: states[r].Epoch})
		}
	}
	return out
}
