package quota

import "errors"

// Kind classifies errors of this package.
type Kind uint8

// KindMalformed is a message that no process of this product writes.
const KindMalformed Kind = iota + 1

var errNumber = errors.New("a number out of range")

// Error is this package's error.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return "quota: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
