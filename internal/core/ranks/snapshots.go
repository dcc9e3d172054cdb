package ranks

import (
	"context"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// snapshots returns what is known of all ranks; false when that is too little.
func (k *Coordinator) snapshots() (looks []snapshot, whole bool) {
	looks = make([]snapshot, len(k.Members))
	for i, m := range k.Members {
		last, at := m.lastSnapshot()
		if k.Clock.Since(at) > maxLookAge {
			return nil, false
		}
		looks[i] = last
	}
	return looks, true
}

// lookAll asks all ranks and waits a little: those of a large group through a few
// sidecars, and the ones that are not reached so directly.
func (k *Coordinator) lookAll(ctx context.Context, r *wire.LookRequest, now time.Time) {
	direct := k.Members
	if k.subtrees != nil {
		direct = nil
		for _, m := range k.Members {
			if m.needsDirectCall(now) {
				direct = append(direct, m)
			}
		}
	}
	w := newPendingCalls(len(k.subtrees) + len(direct))
	for _, p := range k.subtrees {
		p.look(r, now, w.done)
	}
	for _, m := range direct {
		m.look(r, now, w.done)
	}
	w.wait(ctx, replyWait)
}

// otherFence returns the highest fence of another keeper that any rank told.
func (k *Coordinator) otherFence() graniteknot.Position {
	var highest graniteknot.Position
	for _, m := range k.Members {
		highest = max(highest, m.otherFence())
	}
	return highest
}

// holder is the rank that holds: the one after the keeper's own.
func (k *Coordinator) holder() graniteknot.Rank {
	return (k.OwnRank + 1) % graniteknot.Rank(len(k.Members))
}

// roundWithoutFormer goes on while some rank can't be read. If it is the former keeper's
// alone, the step that it held may begin.
func (k *Coordinator) roundWithoutFormer(ctx context.Context, now time.Time) time.Duration {
	states := make([]held.State, len(k.Members))
	var orders []held.Order
	for i, m := range k.Members {
		last, at := m.lastSnapshot()
		states[i] = last.state
		if graniteknot.Rank(i) == k.FormerRank {
			continue
		}
		if at.IsZero() || k.Clock.Since(at) > maxLookAge || !last.state.Open || last.state.Epoch != k.epoch {
			// What was foretold is of a map that may be forgotten.
			k.resetCounts()
		}
		if k.Clock.Since(at) > maxLookAge {
			k.enterPhase(held.PhaseClosed)
			return incompleteInterval
		}
		if !m.knowsFence() {
			orders = append(orders, held.Order{Kind: held.KindGo, Rank: graniteknot.Rank(i), Step: held.Never, Epoch: last.state.Epoch})
		}
	}
	if k.FormerRank == k.OwnRank {
		k.enterPhase(held.PhaseClosed)
		return incompleteInterval
	}
	if len(orders) > 0 {
		k.sendOrders(ctx, orders, now)
		return fastInterval
	}
	d := held.DecideWithout(states, k.FormerRank, k.desired)
	k.desired.Freed = max(k.desired.Freed, d.Freed)
	k.enterPhase(d.Phase)
	k.sendOrders(ctx, d.Orders, now)
	return incompleteInterval
}

// fenceOrders returns an order to each rank that does not know the keeper's fence.
func (k *Coordinator) fenceOrders(states []held.State) []held.Order {
	var out []held.Order
	for r, m := range k.Members {
		if !m.knowsFence() {
			out = append(out, held.Order{Kind: held.KindGo, Rank: graniteknot.Rank(r), Step: held.Never, Epoch: states[r].Epoch})
		}
	}
	return out
}
