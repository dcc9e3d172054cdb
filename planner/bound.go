package planner

import graniteknot "graniteknot.org/go"

// bound limits how many experts of one layer each rank has to load. A nil
// bound limits nothing.
type bound struct {
	slots int
	// limit is the most that a rank may load.
	limit int
	// before holds the experts by rank and slot as they are in force.
	before []graniteknot.Expert
	// fresh counts, for each rank, the experts that it has to load.
	fresh []int
}

func newBound(s Shape, before []graniteknot.Expert, limit int) *bound {
	return &bound{slots: s.Slots, limit: limit, before: append([]graniteknot.Expert(nil), before...), fresh: make([]int, s.Ranks)}
}

// had tells whether a rank holds an expert already.
func (b *bound) had(r int, e graniteknot.Expert) bool {
	return contains(b.before[r*b.slots:(r+1)*b.slots], e)
}

// more is by how much a rank has to load more when it takes one expert in the
// place of another.
func (b *bound) more(r int, in, out graniteknot.Expert) int {
	n := 0
	if !b.had(r, in) {
		n++
	}
	if out != Blank && !b.had(r, out) {
		n--
	}
	return n
}

func (b *bound) allows(r int, in, out graniteknot.Expert) bool {
	return b == nil || b.fresh[r]+b.more(r, in, out) <= b.limit
}

func (b *bound) note(r int, in, out graniteknot.Expert) {
	if b != nil {
		b.fresh[r] += b.more(r, in, out)
	}
}

// loads counts the experts that all ranks have to load.
func (b *bound) loads() int {
	n := 0
	for _, f := range b.fresh {
		n += f
	}
	return n
}
