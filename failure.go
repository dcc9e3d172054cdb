package graniteknot

import "fmt"

// Failure is the shape of every package's error type: the operation that
// failed, a kind that callers can switch on, and the cause. A package
// declares its own as
//
//	type Error = graniteknot.Failure[Kind]
type Failure[K fmt.Stringer] struct {
	// Op is the operation that failed, such as "publish".
	Op string
	// Kind tells callers what they can do about it.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (f *Failure[K]) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s: %s", f.Op, f.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", f.Op, f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *Failure[K]) Unwrap() error { return f.Err }
