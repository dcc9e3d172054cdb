package ranks

import graniteknot "graniteknot.org/go"

// maxLostClaims bounds the claims lost when the store is restored from an older copy: those
// made in the seconds since the copy. Map versions are derived from fencing tokens, so
// tokens are kept small.
const maxLostClaims = 1 << 10

// FenceOf returns the fencing token for a coordinator's claim at a position, higher than
// those of all earlier claims. A store restored from an older copy assigns offsets again
// from the end of the copy, so the token includes the store's era. Without it, ranks would
// refuse every new coordinator until the topic had grown past its former end. Positions
// begin at 0, tokens at 1.
func FenceOf(at graniteknot.Position) graniteknot.Position {
	return graniteknot.Position(int64(at.Era())*maxLostClaims + at.Offset() + 1)
}
