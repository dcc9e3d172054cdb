package spread

import graniteknot "graniteknot.org/go"

// Kind tells what kept a store from moving forward.
type Kind string

// The kinds of errors.
const (
	// KindLog is a log that can't be read.
	KindLog Kind = "log unreachable"
	// KindLost is a position that was trimmed, with no snapshot to go on from.
	KindLost Kind = "trimmed without a snapshot"
	// KindBad is a snapshot that is not proved.
	KindBad Kind = "snapshot not proved"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = graniteknot.Failure[Kind]
