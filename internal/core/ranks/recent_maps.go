package ranks

import (
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

// maxRecentMaps is how many maps a sidecar remembers: the one in force and those it
// prepared since.
const maxRecentMaps = 3

// recentMaps holds the last maps that a sidecar received, as bases for maps sent as moves.
type recentMaps struct {
	mu      sync.Mutex
	entries []recentMap
}

type recentMap struct {
	epoch     held.Epoch
	version   held.Version
	placement *planner.Placement
	// digest identifies the placement.
	digest mapDigest
}

// add stores a map.
func (m *recentMaps) add(e held.Epoch, v held.Version, p *planner.Placement) {
	entry := recentMap{epoch: e, version: v, placement: p, digest: digest(p)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, entry)
	if len(m.entries) > maxRecentMaps {
		m.entries = m.entries[1:]
	}
}

// digest returns the digest of a stored map; 0 if it is unknown.
func (m *recentMaps) digest(e held.Epoch, v held.Version) mapDigest {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.entries {
		if known.epoch == e && known.version == v {
			return known.digest
		}
	}
	return 0
}

// withMoves returns a stored map with moves applied; false when it is unknown or the moves
// don't fit it.
func (m *recentMaps) withMoves(e held.Epoch, base held.Version, moves []int32) (*planner.Placement, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.entries {
		if known.epoch == e && known.version == base {
			return applyMoves(known.placement, moves)
		}
	}
	return nil, false
}

// intsPerMove is the length of an encoded move: the number of unchanged slots before it,
// and the new expert. Most skips encode in one byte, experts in one or two.
const intsPerMove = 2

func applyMoves(p *planner.Placement, moves []int32) (*planner.Placement, bool) {
	next := p.Clone()
	s := p.Shape
	slot := 0
	for ; len(moves) >= intsPerMove; moves = moves[intsPerMove:] {
		unchanged, expert := int(moves[0]), int(moves[1])
		if unchanged < 0 || unchanged >= s.Layers*s.Ranks*s.Slots-slot || expert >= s.Experts {
			return nil, false
		}
		slot += unchanged
		cell := slot / s.Slots
		next.Apply(planner.Batch{Moves: []planner.Move{{
			Layer: graniteknot.Layer(cell / s.Ranks), To: graniteknot.Rank(cell % s.Ranks), Slot: slot % s.Slots, Expert: graniteknot.Expert(expert),
		}}})
		slot++
	}
	return next, true
}

// diffMoves encodes the difference between two maps of the same shape.
func diffMoves(from, to *planner.Placement) []int32 {
	var out []int32
	unchanged := int32(0)
	s := to.Shape
	for l := range s.Layers {
		for r := range s.Ranks {
			before := from.Experts(graniteknot.Layer(l), graniteknot.Rank(r))
			for i, e := range to.Experts(graniteknot.Layer(l), graniteknot.Rank(r)) {
				if before[i] == e {
					unchanged++
					continue
				}
				out = append(out, unchanged, int32(e))
				unchanged = 0
			}
		}
	}
	return out
}
