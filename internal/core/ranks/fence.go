package ranks

import graniteknot "graniteknot.org/go"

// claimBits hold the claims of an era of the store in a fence; maps are numbered by fences,
// so these stay short. More claims than that reach into the next era's numbers, which matters
// only if a drill comes then.
const claimBits = 20

// FenceOf returns the fence of a keeper's claim at a position: higher than those of all former
// positions, also where the store came back from an older copy and gives offsets out again.
// Ranks refuse lower fences, so that no keeper chosen after a drill would be obeyed until the
// topic had grown past its former end. Positions begin at 0, fences at 1.
func FenceOf(at graniteknot.Position) graniteknot.Position {
	return graniteknot.Position(int64(at.Era())<<claimBits + at.Offset() + 1)
}
