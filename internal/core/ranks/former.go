package ranks

import (
	"slices"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// coordinatorRecord is what a sidecar remembers of a coordinator.
type coordinatorRecord struct {
	fence graniteknot.Position
	// rank is the one on the coordinator's box, if rankKnown.
	rank      graniteknot.Rank
	rankKnown bool
	// unarmed reports that the coordinator saw all ranks with nothing armed, under its own fencing
	// token. All arms since are its own, and its own rank's is the last.
	unarmed bool
}

// tellFormer adds the former coordinator to a reply.
func (e *Executor) tellFormer(reply *wire.LookReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.former.rankKnown {
		return
	}
	reply.FormerFence, reply.FormerRank, reply.FormerUnarmed = int64(e.former.fence), int32(e.former.rank)+1, e.former.unarmed
}

// formerFromWire returns the former coordinator that a reply tells of.
func formerFromWire(reply *wire.LookReply) coordinatorRecord {
	return coordinatorRecord{
		fence: graniteknot.Position(reply.GetFormerFence()), rank: graniteknot.Rank(reply.GetFormerRank() - 1),
		rankKnown: reply.GetFormerRank() > 0, unarmed: reply.GetFormerUnarmed(),
	}
}

// recordFormer stores the former coordinator of which a sidecar told.
func (m *Member) recordFormer(former coordinatorRecord) {
	if !former.rankKnown {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.former = former
}

func (m *Member) formerCoordinator() coordinatorRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.former
}

// formerRankLast reports whether the former coordinator's rank is armed only if all others are. That
// holds if the last coordinator of which any sidecar heard was on that rank's box and saw all ranks
// with nothing armed: an earlier one may have armed that rank before others.
func (c *Coordinator) formerRankLast() bool {
	var last coordinatorRecord
	for _, m := range c.Members {
		former := m.formerCoordinator()
		if former.fence == last.fence {
			last.unarmed = last.unarmed || former.unarmed
		}
		if former.fence > last.fence {
			last = former
		}
	}
	return last.rankKnown && last.rank == c.FormerRank && last.unarmed
}

// noneArmed reports whether no rank is armed.
func noneArmed(states []held.State) bool {
	return !slices.ContainsFunc(states, func(s held.State) bool { return s.Armed != 0 })
}
