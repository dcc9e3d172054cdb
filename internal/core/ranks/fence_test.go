package ranks_test

import (
	"testing"

	"pgregory.net/rapid"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/ranks"
)

// TestFencesRiseOverEras draws claims of two eras: a later position has the higher fence,
// whatever its offset, and maps numbered by it stay exact in a float of 64 bits.
func TestFencesRiseOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const mostClaims, mostEras, mapsOfAKeeper = 1<<20 - 1, 1 << 12, 1 << 20
		draw := func(name string) graniteknot.Position {
			era := rapid.Int64Range(0, mostEras).Draw(t, name+" era")
			return graniteknot.PositionOf(graniteknot.Era(era), rapid.Int64Range(0, mostClaims-1).Draw(t, name+" offset"))
		}
		a, b := draw("a"), draw("b")
		if a > b {
			a, b = b, a
		}
		if a < b && ranks.FenceOf(a) >= ranks.FenceOf(b) {
			t.Fatalf("%v has fence %d, %v has %d", a, int64(ranks.FenceOf(a)), b, int64(ranks.FenceOf(b)))
		}
		if numbered := int64(ranks.FenceOf(b)) * mapsOfAKeeper; numbered <= 0 || numbered > 1<<53 {
			t.Fatalf("%v numbers maps from %d on", b, numbered)
		}
	})
	if got := ranks.FenceOf(graniteknot.PositionOf(0, 7)); got != 8 {
		t.Errorf("without eras the fence is %d", got)
	}
}
