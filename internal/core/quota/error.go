package quota

import "errors"

// Kind classifies errors of this package.
type Kind uint8

// KindMalformed is a message that can't be encoded or decoded, or holds a value out of range.
const KindMalformed Kind = iota + 1

var errOutOfRange = errors.New("number out of range")

// Error is an error of this package with the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return "quota: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
