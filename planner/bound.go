package planner

import graniteknot "graniteknot.org/go"

// bound limits how many experts of one layer each rank has to load. A nil
// bound limits nothing.
type bound struct {
	slots int
	room  LoadLimits
	// before holds the experts by rank and slot as they are in force.
	before []graniteknot.Expert
	// fresh counts, for each rank, the experts of the layer that it has to load;
	// all counts those of all layers, and is shared by their bounds.
	fresh, all []int
}

func newBound(s Shape, before []graniteknot.Expert, room LoadLimits, all []int) *bound {
	return &bound{
		slots: s.Slots, room: room, before: append([]graniteknot.Expert(nil), before...),
		fresh: make([]int, s.Ranks), all: all,
	}
}

// had tells whether a rank holds an expert already.
func (b *bound) had(r int, e graniteknot.Expert) bool {
	return contains(b.before[r*b.slots:(r+1)*b.slots], e)
}

// more is by how much a rank has to load more when it takes one expert, or none,
// in the place of another.
func (b *bound) more(r int, in, out graniteknot.Expert) int {
	n := 0
	if in != EmptySlot && !b.had(r, in) {
		n++
	}
	if out != EmptySlot && !b.had(r, out) {
		n--
	}
	return n
}

func (b *bound) allows(r int, in, out graniteknot.Expert) bool {
	if b == nil {
		return true
	}
	n := b.more(r, in, out)
	return b.fresh[r]+n <= b.room.PerLayer && (b.room.PerRank == 0 || n <= 0 || b.all[r]+n <= b.room.PerRank)
}

func (b *bound) note(r int, in, out graniteknot.Expert) {
	if b != nil {
		n := b.more(r, in, out)
		b.fresh[r] += n
		b.all[r] += n
	}
}

// moves counts the experts that all ranks have to load.
func (b *bound) moves() int {
	n := 0
	for _, f := range b.fresh {
		n += f
	}
	return n
}
