package catalog

import graniteknot "graniteknot.org/go"

// Kind is why a tree was rejected.
type Kind string

// The kinds of errors.
const (
	// KindOlder is a tree with a version below the one in force.
	KindOlder Kind = "older version"
	// KindInvalid is a tree that contradicts itself.
	KindInvalid Kind = "invalid"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = graniteknot.Failure[Kind]
