// Package readers selects the gateways that read the platform's store on behalf of all
// others. Each process computes the selection from its own view of the members. While views
// differ, a gateway too many may read, or a process may wait for one that does not.
package readers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"graniteknot.org/go/internal/core/presence"
)

// Selection selects the gateways with the highest priority as readers. The selection is the same
// for all processes that add the same gateways: by a hash of the box, which spreads readers over
// the availability zones. Gateways that can't reach the store come last.
type Selection struct {
	// Limit is the number of gateways to select; it is set before the first Add.
	Limit int

	// first are the selected ones so far, in order; at most Limit.
	first []rankedGateway
	added int
}

// rankedGateway is a gateway with its sort keys.
type rankedGateway struct {
	member    presence.Member
	storeLost bool
	hash      uint64
}

// Add adds a gateway.
func (s *Selection) Add(m *presence.Member, storeLost bool) {
	s.added++
	next := rankedGateway{storeLost: storeLost, hash: xxhash.Sum64String(string(m.Box))}
	at, _ := slices.BinarySearchFunc(s.first, next, compare)
	if at == s.Limit {
		return
	}
	next.member = *m
	s.first = slices.Insert(s.first, at, next)
	s.first = s.first[:min(len(s.first), s.Limit)]
}

// Added returns how many gateways were added.
func (s *Selection) Added() int { return s.added }

// Members returns the selected gateways by priority.
func (s *Selection) Members() []presence.Member {
	out := make([]presence.Member, len(s.first))
	for i := range s.first {
		out[i] = s.first[i].member
	}
	return out
}

// compare orders gateways by priority.
func compare(a, b rankedGateway) int {
	return cmp.Or(compareBool(a.storeLost, b.storeLost), cmp.Compare(a.hash, b.hash))
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
