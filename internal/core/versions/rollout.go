package versions

import (
	"time"
)

// Rollout is the distribution of one version.
type Rollout struct {
	Version int64
	// Reader is the gateway whose read of the store returned it first.
	Reader string
	// First and Last are when the first and the last gateway applied it.
	First, Last time.Time
	// Slowest is the last gateway to apply it, and Source the one that it got it from.
	Slowest, Source string
	// Boxes is how many gateways applied it; others applied only a later one.
	Boxes int
}

// add records that a gateway applied the version.
func (r *Rollout) add(at time.Time, box, reader, by string) {
	r.Boxes++
	if r.Boxes == 1 || at.Before(r.First) {
		r.First, r.Reader = at, reader
	}
	if r.Boxes == 1 || at.After(r.Last) {
		r.Last, r.Slowest, r.Source = at, box, by
	}
}
