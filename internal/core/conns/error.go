package conns

import graniteknot "graniteknot.org/go"

// Kind is what is known about a request after an error.
type Kind string

// The kinds of errors.
const (
	// KindUnsent proves that no byte of the request was sent.
	KindUnsent Kind = "not sent"
	// KindFull proves the same: too many connections are open.
	KindFull Kind = "too many connections"
	// KindLost means that the request may have run.
	KindLost Kind = "answer lost"
	// KindUnread means the same: the replica stopped reading the request.
	KindUnread Kind = "request unread"
	// KindSpoiled means that the bytes received are not a response to the request.
	KindSpoiled Kind = "answer spoiled"
	// KindTooLarge means that the bytes received before a body exceed a bound.
	KindTooLarge Kind = "answer too large"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = graniteknot.Failure[Kind]
