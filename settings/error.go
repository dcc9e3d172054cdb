package settings

import graniteknot "graniteknot.org/go"

// Kind tells what was wrong with a change.
type Kind string

// The kinds of errors.
const (
	// KindMalformed is text that the schema refuses.
	KindMalformed Kind = "malformed"
	// KindForeign is a section that the branch may not set.
	KindForeign Kind = "foreign section"
	// KindFixed is an attempt to change what can't change any more.
	KindFixed Kind = "fixed value"
	// KindConflict is a value that another section already holds.
	KindConflict Kind = "conflict"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = graniteknot.Failure[Kind]
