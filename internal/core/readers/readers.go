// Package readers selects the gateways that read the platform's store on behalf of all
// others. Each process computes the selection from its own view of the members. While views
// differ, a gateway too many may read, or a process may wait for one that does not.
package readers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// rankedGateway is a gateway with its sort keys.
type rankedGateway struct {
	member    presence.Member
	storeLost bool
	hash      uint64
}

// Order returns the gateways by priority as readers, the same for all processes that know the
// same members: by a hash of the box, which spreads readers over the availability zones.
// Gateways that can't reach the store come last.
func Order(all []presence.Member, storeLost func(graniteknot.BoxName) bool) []presence.Member {
	list := make([]rankedGateway, len(all))
	for i, m := range all {
		list[i] = rankedGateway{m, storeLost(m.Box), xxhash.Sum64String(string(m.Box))}
	}
	slices.SortFunc(list, func(a, b rankedGateway) int {
		return cmp.Or(compareBool(a.storeLost, b.storeLost), cmp.Compare(a.hash, b.hash))
	})
	out := make([]presence.Member, len(list))
	for i := range list {
		out[i] = list[i].member
	}
	return out
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
