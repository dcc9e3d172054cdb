// Package coarse tells counts in a byte each, for sums that travel over narrow links.
// Who counts what, and how sums are made, is left to the callers.
package coarse

import "math/bits"

// A count is told exactly up to 31, and beyond that with a 1 and four
// more binary digits, so off by 1 in 32 at most. Of what is chosen at some ranks in a
// tenth of a second chance alone makes more, and a sum of 16 sets of 258 experts
// takes 4 KB, for 8 KB as numbers of the usual variable length.
const (
	digits = 4
	step   = 1 << digits
	most   = 255
)

// Byte returns a count's byte; counts beyond half a million are told as that.
func Byte(n uint64) byte {
	shift := max(bits.Len64(n)-digits-1, 0)
	half := uint64(1) << shift >> 1
	return byte(min(uint64(shift)*step+(n+half)>>shift, most))
}

// Count returns the count that a byte tells.
func Count(b byte) uint64 {
	shift := max(int(b)/step-1, 0)
	return (uint64(b) - uint64(shift)*step) << shift
}

// Bytes returns the bytes of counts.
func Bytes(counts []uint64) []byte {
	out := make([]byte, len(counts))
	for i, n := range counts {
		out[i] = Byte(n)
	}
	return out
}
