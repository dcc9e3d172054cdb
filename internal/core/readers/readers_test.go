package readers_test

import (
	"strconv"
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/readers"
)

// TestLostGatewaysReadLast puts those that the store does not answer behind all others, and
// else keeps the order, whoever is asked.
func TestLostGatewaysReadLast(t *testing.T) {
	var all []presence.Member
	for i := range 20 {
		all = append(all, presence.Member{Box: graniteknot.BoxName(strconv.Itoa(i))})
	}
	nobody := func(graniteknot.BoxName) bool { return false }
	usual := readers.Order(all, nobody)
	gone := map[graniteknot.BoxName]bool{usual[0].Box: true, usual[2].Box: true}
	now := readers.Order(all, func(b graniteknot.BoxName) bool { return gone[b] })
	if now[0] != usual[1] || now[1] != usual[3] || now[18] != usual[0] || now[19] != usual[2] {
		t.Errorf("%v, usually %v", now, usual)
	}
	everybody := readers.Order(all, func(graniteknot.BoxName) bool { return true })
	for i := range all {
		if everybody[i] != usual[i] {
			t.Errorf("place %d: %v, usually %v", i, everybody[i], usual[i])
		}
	}
}
