package readers_test

import (
	"strconv"
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/readers"
)

// TestStoreLostGatewaysOrderedLast checks that gateways that can't reach the store come last and
// that the order is otherwise unchanged.
func TestStoreLostGatewaysOrderedLast(t *testing.T) {
	var all []presence.Member
	for i := range 20 {
		all = append(all, presence.Member{Box: graniteknot.BoxName(strconv.Itoa(i))})
	}
	none := func(graniteknot.BoxName) bool { return false }
	normal := readers.Order(all, none)
	lost := map[graniteknot.BoxName]bool{normal[0].Box: true, normal[2].Box: true}
	got := readers.Order(all, func(b graniteknot.BoxName) bool { return lost[b] })
	if got[0] != normal[1] || got[1] != normal[3] || got[18] != normal[0] || got[19] != normal[2] {
		t.Errorf("got order %v, without failures %v", got, normal)
	}
	allLost := readers.Order(all, func(graniteknot.BoxName) bool { return true })
	for i := range all {
		if allLost[i] != normal[i] {
			t.Errorf("place %d: got %v, without failures %v", i, allLost[i], normal[i])
		}
	}
}
