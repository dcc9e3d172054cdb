package ranks

import (
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

// maxRecentMaps is how many maps a sidecar remembers: the one in force, and those that
// it was told to prepare since.
const maxRecentMaps = 3

// recentMaps remembers the recentMaps that a sidecar was told, so that the next one can be
// told by how it differs.
type recentMaps struct {
	mu      sync.Mutex
	entries []recentMap
}

type recentMap struct {
	epoch     held.Epoch
	version   held.Version
	placement *planner.Placement
}

// add remembers a map.
func (m *recentMaps) add(e held.Epoch, v held.Version, p *planner.Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, recentMap{e, v, p})
	if len(m.entries) > maxRecentMaps {
		m.entries = m.entries[1:]
	}
}

// withMoves returns a remembered map with changes; false when it is unknown, or
// the changes do not fit it.
func (m *recentMaps) withMoves(e held.Epoch, base held.Version, moves []int32) (*planner.Placement, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.entries {
		if k.epoch == e && k.version == base {
			return applyMoves(k.placement, moves)
		}
	}
	return nil, false
}

// intsPerMove is how many numbers tell one move: how many places are the same before
// it, and the expert. Most of the first take a byte, the second one or two.
const intsPerMove = 2

func applyMoves(p *planner.Placement, moves []int32) (*planner.Placement, bool) {
	next := p.Clone()
	s := p.Shape
	at := 0
	for ; len(moves) >= intsPerMove; moves = moves[intsPerMove:] {
		same, expert := int(moves[0]), int(moves[1])
		if same < 0 || same >= s.Layers*s.Ranks*s.Slots-at || expert >= s.Experts {
			return nil, false
		}
		at += same
		place := at / s.Slots
		next.Apply(planner.Batch{Moves: []planner.Move{{
			Layer: graniteknot.Layer(place / s.Ranks), To: graniteknot.Rank(place % s.Ranks), Slot: at % s.Slots, Expert: graniteknot.Expert(expert),
		}}})
		at++
	}
	return next, true
}

// diffMoves tells how a map differs from another of the same shape.
func diffMoves(from, to *planner.Placement) []int32 {
	var out []int32
	same := int32(0)
	s := to.Shape
	for l := range s.Layers {
		for r := range s.Ranks {
			before := from.Rank(graniteknot.Layer(l), graniteknot.Rank(r))
			for i, e := range to.Rank(graniteknot.Layer(l), graniteknot.Rank(r)) {
				if before[i] == e {
					same++
					continue
				}
				out = append(out, same, int32(e))
				same = 0
			}
		}
	}
	return out
}
