package ranks

import graniteknot "graniteknot.org/go"

// maxLostClaims is by how many the claims that a drill loses are fewer: those of the seconds since
// the store's copy was taken. Maps are numbered by fences, so these stay short.
const maxLostClaims = 1 << 10

// FenceOf returns the fence of a keeper's claim at a position: higher than those of all former
// claims, also where the store came back from an older copy and gives offsets out again, from
// where the copy ended. Ranks refuse lower fences, so that no keeper chosen after a drill
// would be obeyed until the topic had grown past its former end. Positions begin at 0, fences
// at 1.
func FenceOf(at graniteknot.Position) graniteknot.Position {
	return graniteknot.Position(int64(at.Era())*maxLostClaims + at.Offset() + 1)
}
