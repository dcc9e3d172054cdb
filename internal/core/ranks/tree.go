package ranks

import (
	"cmp"
	"math"
	"slices"

	graniteknot "graniteknot.org/go"
)

const (
	// minRelayedGroup is the size from which a keeper reaches its ranks through
	// others: below it, a call to each costs less than the second hop.
	minRelayedGroup = 24
	// minSubtree is how many ranks one sidecar reaches at least for the keeper of a
	// large group, and directly: about the root of a group of 64.
	minSubtree = 8
)

// subtreeSize is how many ranks the keeper of so many reaches through one sidecar.
// Up to 64 ranks it reaches sidecars that reach the others; in larger groups there is
// one level more between, and each sidecar speaks to about the cube root of the
// ranks. What a box of the tree sends and receives therefore grows by the cube root
// of the group: a map of 700 moves, which takes 4 KB, costs the keeper's link 21 KB
// at 129 ranks and 40 KB at 1,000.
func subtreeSize(ranks int) int {
	if ranks <= minSubtree*minSubtree {
		return minSubtree
	}
	root := math.Cbrt(float64(ranks))
	return int(math.Ceil(root * root))
}

// splitBranches divides the sidecars that one sidecar reaches for a keeper. It speaks to
// the first of each branch, which reaches the others of its branch.
func splitBranches(sidecars []string) [][]string {
	size := 1
	if len(sidecars) > minSubtree {
		size = int(math.Ceil(math.Sqrt(float64(len(sidecars)))))
	}
	return slices.Collect(slices.Chunk(sidecars, size))
}

// splitGroup returns the members of a group in the parts in which the keeper reaches
// them. Those of an availability zone are together, so that what is told to all
// crosses the border of each zone once. The keeper's own rank is the last of its part:
// its box has enough to carry without reaching others.
func splitGroup(members []*Member, own graniteknot.Rank) [][]*Member {
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(a, b *Member) int { return cmp.Compare(a.zone, b.zone) })
	parts := slices.Collect(slices.Chunk(sorted, subtreeSize(len(members))))
	for _, part := range parts {
		slices.SortStableFunc(part, func(a, b *Member) int { return cmp.Compare(ownLast(a, own), ownLast(b, own)) })
	}
	return parts
}

func ownLast(m *Member, own graniteknot.Rank) int {
	if m.rank == own {
		return 1
	}
	return 0
}

// allAddressed tells whether the sidecars of all members can reach each other.
func allAddressed(members []*Member) bool {
	return !slices.ContainsFunc(members, func(m *Member) bool { return m.address == "" })
}

// relayedSidecars are the addresses of all members but the first.
func relayedSidecars(members []*Member) []string {
	out := make([]string, 0, len(members)-1)
	for _, m := range members[1:] {
		out = append(out, string(m.address))
	}
	return out
}
