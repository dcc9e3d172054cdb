package versions

import (
	"time"
)

// Way is how one version came to the gateways.
type Way struct {
	Version int64
	// Reader is the gateway whose read of the store showed it first.
	Reader string
	// First is when it came into force anywhere, and Last where it did so last.
	First, Last time.Time
	// Slowest is the gateway that had it last, told by ToldBy.
	Slowest, ToldBy string
	// Boxes have had it in force; others took a later one.
	Boxes int
}

// add takes in that a gateway has the version.
func (w *Way) add(at time.Time, box, reader, by string) {
	w.Boxes++
	if w.Boxes == 1 || at.Before(w.First) {
		w.First, w.Reader = at, reader
	}
	if w.Boxes == 1 || at.After(w.Last) {
		w.Last, w.Slowest, w.ToldBy = at, box, by
	}
}
