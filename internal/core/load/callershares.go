package load

import "errors"

// CallerShares are the shares of items whose callers are of a kind, each from 0 to 1 and at most 1 in sum. The
// callers of all other items are CallerDefault.
type CallerShares struct {
	Slow, HTTP10, Once float64
}

// Validate returns an error unless the shares are valid.
func (s CallerShares) Validate() error {
	// The negation rejects NaN, too.
	if !(s.Slow >= 0 && s.HTTP10 >= 0 && s.Once >= 0 && s.Slow+s.HTTP10+s.Once <= 1) {
		return errors.New("load: the shares of slow, HTTP/1.0 and run-once callers must be from 0 to 1, and at most 1 in sum")
	}
	return nil
}

// kind returns the kind for a number that is drawn evenly from 0 to 1, exclusive.
func (s CallerShares) kind(drawn float64) CallerKind {
	switch {
	case drawn < s.Slow:
		return CallerSlow
	case drawn < s.Slow+s.HTTP10:
		return CallerHTTP10
	case drawn < s.Slow+s.HTTP10+s.Once:
		return CallerOnce
	}
	return CallerDefault
}
