package fold

import graniteknot "graniteknot.org/go"

// Kind tells why a record or a snapshot was not taken.
type Kind string

// The kinds of errors.
const (
	// KindMalformed is a record that can't be read.
	KindMalformed Kind = "malformed"
	// KindUnverified is a record whose publisher is not proved.
	KindUnverified Kind = "not proved"
	// KindConflict is a change against a version that is no longer in force.
	KindConflict Kind = "clash"
	// KindInvalid is a change that the tree refuses.
	KindInvalid Kind = "invalid"
	// KindDigestMismatch is a snapshot that does not give the digest it states.
	KindDigestMismatch Kind = "mismatch"
	// KindGap is a record that does not follow the one before.
	KindGap Kind = "gap"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = graniteknot.Failure[Kind]
