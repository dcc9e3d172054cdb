package ranks

import (
	"cmp"
	"math"
	"slices"

	graniteknot "graniteknot.org/go"
)

const (
	// minRelayedGroup is the group size from which the coordinator uses relays. Below it, a
	// call to each rank costs less than a second hop.
	minRelayedGroup = 24
	// minSubtreeSize is the minimum number of ranks reached through one relay of a large group,
	// all of them directly: about the square root of a group of 64.
	minSubtreeSize = 8
)

// subtreeSize returns how many ranks a coordinator reaches through one relay. Up to 64
// ranks the relays call the others directly. Larger groups have one more level, and each
// sidecar calls about the cube root of the ranks. The traffic of a box in the tree
// therefore grows with the cube root of the group: a map of 700 moves, which takes 4 KB,
// costs the coordinator's link 21 KB at 129 ranks and 40 KB at 1,000.
func subtreeSize(ranks int) int {
	if ranks <= minSubtreeSize*minSubtreeSize {
		return minSubtreeSize
	}
	root := math.Cbrt(float64(ranks))
	return int(math.Ceil(root * root))
}

// splitBranches splits the sidecars that a relay has to reach. It calls the first of each
// branch, which relays to the rest of the branch.
func splitBranches(sidecars []string) [][]string {
	size := 1
	if len(sidecars) > minSubtreeSize {
		size = int(math.Ceil(math.Sqrt(float64(len(sidecars)))))
	}
	return slices.Collect(slices.Chunk(sidecars, size))
}

// splitGroup splits the members of a group into subtrees. Members of an availability zone
// are adjacent, so that a message to all crosses each zone border once. The coordinator's
// own rank is the last of its subtree, because its box is loaded enough without relaying.
func splitGroup(members []*Member, own graniteknot.Rank) [][]*Member {
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(a, b *Member) int { return cmp.Compare(a.zone, b.zone) })
	subtrees := slices.Collect(slices.Chunk(sorted, subtreeSize(len(members))))
	for _, subtree := range subtrees {
		slices.SortStableFunc(subtree, func(a, b *Member) int { return cmp.Compare(ownLast(a, own), ownLast(b, own)) })
	}
	return subtrees
}

func ownLast(m *Member, own graniteknot.Rank) int {
	if m.rank == own {
		return 1
	}
	return 0
}

// allAddressed reports whether the sidecars of all members can reach each other.
func allAddressed(members []*Member) bool {
	return !slices.ContainsFunc(members, func(m *Member) bool { return m.address == "" })
}

// relayedSidecars returns the addresses of all members but the first, which relays to them.
func relayedSidecars(members []*Member) []string {
	out := make([]string, 0, len(members)-1)
	for _, m := range members[1:] {
		out = append(out, string(m.address))
	}
	return out
}
