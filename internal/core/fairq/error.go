package fairq

import (
	"errors"

	graniteknot "graniteknot.org/go"
)

// Kind tells why no slot was given.
type Kind string

// The kinds of errors.
const (
	// KindOverload is work that can't be served before its deadline.
	KindOverload Kind = "overload"
	// KindGone is work whose asker left the queue.
	KindGone Kind = "gone"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// errTooLate refuses an item whose time ran out in the queue.
var errTooLate = errors.New("the deadline is too near to be served")

// Error is the error type of this package.
type Error = graniteknot.Failure[Kind]
