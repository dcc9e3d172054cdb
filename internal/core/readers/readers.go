// Package readers decides which gateways read the platform's store for all others. Each
// process decides for itself, from whom it knows; two that differ in that have one gateway too
// many read for a moment, or wait for one that does not.
package readers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// placed is a gateway with its place in the order.
type placed struct {
	member presence.Member
	lost   bool
	hash   uint64
}

// Order returns the gateways in the order in which they read, the same for all who know the
// same: by a hash of the box, which spreads them over the availability zones. Those that the
// store does not answer come last.
func Order(all []presence.Member, lost func(graniteknot.BoxName) bool) []presence.Member {
	list := make([]placed, len(all))
	for i, m := range all {
		list[i] = placed{m, lost(m.Box), xxhash.Sum64String(string(m.Box))}
	}
	slices.SortFunc(list, func(a, b placed) int {
		return cmp.Or(compareBool(a.lost, b.lost), cmp.Compare(a.hash, b.hash))
	})
	out := make([]presence.Member, len(list))
	for i := range list {
		out[i] = list[i].member
	}
	return out
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
