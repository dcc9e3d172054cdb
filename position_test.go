package graniteknot_test

import (
	"testing"

	"pgregory.net/rapid"

	graniteknot "graniteknot.org/go"
)

// TestPositionsAreOrdered draws positions: the era orders first, then the offset, and both
// come back; negative ones stand for nothing and are lower than all.
func TestPositionsAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const mostEras, mostOffsets = 1 << 22, 1<<40 - 1
		eras, offsets := rapid.Int64Range(0, mostEras), rapid.Int64Range(0, mostOffsets)
		e1, e2 := eras.Draw(t, "era"), eras.Draw(t, "other era")
		o1, o2 := offsets.Draw(t, "offset"), offsets.Draw(t, "other offset")
		a, b := graniteknot.PositionOf(graniteknot.Era(e1), o1), graniteknot.PositionOf(graniteknot.Era(e2), o2)
		if a.Era() != graniteknot.Era(e1) || a.Offset() != o1 || a <= -1 {
			t.Fatalf("era %d, offset %d became %v", e1, o1, a)
		}
		if earlier := e1 < e2 || e1 == e2 && o1 < o2; earlier != (a < b) {
			t.Fatalf("%v and %v", a, b)
		}
		if in := a.In(b.Era()); in.Era() != b.Era() || in.Offset() != o1 {
			t.Fatalf("%v in era %d is %v", a, e2, in)
		}
	})
	if p := graniteknot.Position(-1); p.Era() != 0 || p.Offset() != -1 {
		t.Errorf("%d, %d", p.Era(), p.Offset())
	}
}
