package readers_test

import (
	"slices"
	"strconv"
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/readers"
)

// order returns the first gateways of a list, which it adds in a different order.
func order(all []presence.Member, limit int, lost func(graniteknot.BoxName) bool) []presence.Member {
	s := readers.Selection{Limit: limit}
	for _, m := range slices.Backward(all) {
		s.Add(&m, lost(m.Box))
	}
	return s.Members()
}

// TestStoreLostGatewaysOrderedLast checks that gateways that can't reach the store come last and
// that the order is otherwise unchanged.
func TestStoreLostGatewaysOrderedLast(t *testing.T) {
	var all []presence.Member
	for i := range 20 {
		all = append(all, presence.Member{Box: graniteknot.BoxName(strconv.Itoa(i))})
	}
	none := func(graniteknot.BoxName) bool { return false }
	normal := order(all, 20, none)
	lost := map[graniteknot.BoxName]bool{normal[0].Box: true, normal[2].Box: true}
	isLost := func(b graniteknot.BoxName) bool { return lost[b] }
	got := order(all, 20, isLost)
	if got[0] != normal[1] || got[1] != normal[3] || got[18] != normal[0] || got[19] != normal[2] {
		t.Errorf("got order %v, without failures %v", got, normal)
	}
	allLost := order(all, 20, func(graniteknot.BoxName) bool { return true })
	for i := range all {
		if allLost[i] != normal[i] {
			t.Errorf("place %d: got %v, without failures %v", i, allLost[i], normal[i])
		}
	}
	for _, limit := range []int{0, 1, 6, 30} {
		if first := order(all, limit, isLost); !slices.Equal(first, got[:min(limit, len(got))]) {
			t.Errorf("the first %d are %v, of %v", limit, first, got)
		}
	}
}
