package ranks

import (
	"context"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// snapshots returns the latest snapshot of every rank; false when one is missing or too
// old.
func (c *Coordinator) snapshots() (snapshots []snapshot, complete bool) {
	snapshots = make([]snapshot, len(c.Members))
	for i, m := range c.Members {
		last, at := m.lastSnapshot()
		if c.Clock.Since(at) > maxLookAge {
			return nil, false
		}
		snapshots[i] = last
	}
	return snapshots, true
}

// lookAll reads all ranks and waits briefly for the answers. In a large group it goes
// through relays, and calls directly the ranks that these do not reach.
func (c *Coordinator) lookAll(ctx context.Context, r *wire.LookRequest, now time.Time) {
	direct := c.Members
	if c.subtrees != nil {
		direct = nil
		for _, m := range c.Members {
			if m.needsDirectCall(now) {
				direct = append(direct, m)
			}
		}
	}
	calls := newPendingCalls(len(c.subtrees) + len(direct))
	for _, tree := range c.subtrees {
		tree.look(r, now, calls.done)
	}
	for _, m := range direct {
		m.look(r, now, calls.done)
	}
	calls.wait(ctx, replyWait)
}

// otherFence returns the highest fencing token of another coordinator that any rank
// reported.
func (c *Coordinator) otherFence() graniteknot.Position {
	var highest graniteknot.Position
	for _, m := range c.Members {
		highest = max(highest, m.otherFence())
	}
	return highest
}

// holder returns the rank that holds steps: the one after the coordinator's own.
func (c *Coordinator) holder() graniteknot.Rank {
	return (c.OwnRank + 1) % graniteknot.Rank(len(c.Members))
}

// roundWithoutFormer is a round in which some rank can't be read. If that is only the
// former coordinator's rank, the step that it held may be released.
func (c *Coordinator) roundWithoutFormer(ctx context.Context, now time.Time) time.Duration {
	states := make([]held.State, len(c.Members))
	var orders []held.Order
	for i, m := range c.Members {
		last, at := m.lastSnapshot()
		states[i] = last.state
		if graniteknot.Rank(i) == c.FormerRank {
			continue
		}
		if at.IsZero() || c.Clock.Since(at) > maxLookAge || !last.state.GroupRunning || last.state.Epoch != c.epoch {
			// The map that the counts and the forecast are for may have been dropped.
			c.resetCounts()
		}
		if c.Clock.Since(at) > maxLookAge {
			c.enterPhase(held.PhaseUnavailable)
			return incompleteInterval
		}
		if m.fenceAccepted().IsZero() {
			orders = append(orders, held.Order{Kind: held.KindRelease, Rank: graniteknot.Rank(i), Step: held.NoStep, Epoch: last.state.Epoch})
		}
	}
	if c.FormerRank == c.OwnRank || !c.formerRankLast() {
		c.enterPhase(held.PhaseUnavailable)
		return incompleteInterval
	}
	if len(orders) > 0 {
		c.sendOrders(ctx, orders, now)
		return fastInterval
	}
	if !c.readUnderFence(c.FormerRank) {
		return fastInterval
	}
	decision := held.DecideWithMissingRank(states, c.FormerRank, c.desired)
	c.desired.ReleasedStep = max(c.desired.ReleasedStep, decision.ReleasedStep)
	c.enterPhase(decision.Phase)
	c.logRelease(&decision)
	c.sendOrders(ctx, decision.Orders, now)
	return incompleteInterval
}

// fenced reports whether the states were read after all ranks had accepted the fencing token. It sends
// the token to those that have not.
func (c *Coordinator) fenced(ctx context.Context, states []held.State, now time.Time) bool {
	var orders []held.Order
	for r, m := range c.Members {
		if m.fenceAccepted().IsZero() {
			orders = append(orders, held.Order{Kind: held.KindRelease, Rank: graniteknot.Rank(r), Step: held.NoStep, Epoch: states[r].Epoch})
		}
	}
	if len(orders) > 0 {
		c.sendOrders(ctx, orders, now)
		return false
	}
	return c.readUnderFence(noRank)
}

// readUnderFence reports whether all ranks but one were read after all of them had accepted the fencing
// token. Until then an order of a former coordinator may still have changed what was read. A negative
// rank excepts none.
func (c *Coordinator) readUnderFence(except graniteknot.Rank) bool {
	var accepted, oldest time.Time
	for r, m := range c.Members {
		if graniteknot.Rank(r) == except {
			continue
		}
		if at := m.fenceAccepted(); at.After(accepted) {
			accepted = at
		}
		if _, at := m.lastSnapshot(); oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest.After(accepted)
}
