package graniteknot

import "fmt"

// Era counts how often the platform's store came back from an older copy of itself. What was
// written since the copy was taken is gone then, also if it was acknowledged, and offsets are
// given out again. It is 0 where the store tells none.
type Era int64

// offsetBits hold the offset in a Position: ten years of 3,000 records a second.
const offsetBits = 40

// Position says where a record of a topic stands: the offset counts the topic's records from
// 0 in an era of the store. All positions of an era are higher than those of former ones,
// whatever their offsets, so positions may be compared. Negative ones stand for nothing.
type Position int64

// PositionOf returns the position of an offset in an era.
func PositionOf(e Era, offset int64) Position { return Position(int64(e)<<offsetBits | offset) }

// Era returns the era that the position is of.
func (p Position) Era() Era { return Era(max(p, 0) >> offsetBits) }

// Offset returns the place among the records of the era.
func (p Position) Offset() int64 {
	if p < 0 {
		return int64(p)
	}
	return int64(p) & (1<<offsetBits - 1)
}

// In returns the position of the same offset in an era.
func (p Position) In(e Era) Position { return PositionOf(e, p.Offset()) }

// String tells the offset, behind the era where there is one.
func (p Position) String() string {
	if e := p.Era(); e != 0 {
		return fmt.Sprintf("%d/%d", e, p.Offset())
	}
	return fmt.Sprint(p.Offset())
}
