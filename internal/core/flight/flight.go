// Package flight keeps one answer while it is produced, and for a while after,
// so that several readers can follow it from any position and a slow reader
// slows nobody but itself. How long an answer is kept is left to its user.
package flight

import (
	"context"
	"errors"
	"sync"

	graniteknot "graniteknot.org/go"
)

const (
	// MaxSize bounds one answer, in bytes of data.
	MaxSize = 8 << 20
	// MaxPieces bounds the pieces of one answer, so that they take no more than its data may.
	MaxPieces = MaxSize / pieceSize
	// pieceSize is about what a piece takes beside its data, in bytes.
	pieceSize = 64
)

// ErrTooLarge ends work whose answer passes MaxSize or MaxPieces.
var ErrTooLarge = errors.New("flight: answer too large")

// Ending is how an answer ended.
type Ending struct {
	// Outcome is OutcomeAnswered for a whole answer, OutcomeNotRun for work
	// that provably never started, and OutcomeUnknown otherwise.
	Outcome graniteknot.Outcome
	Reason  string
}

// Flight is one answer. The zero value is an empty answer under way.
type Flight struct {
	mu sync.Mutex
	// pieces only grows.
	pieces []graniteknot.Piece
	// size is the number of bytes of data.
	size graniteknot.Bytes
	// ended is set once; nothing is added after it.
	ended  bool
	ending Ending
	// more is closed and replaced at every change; nil while nobody waits.
	more chan struct{}
}

// Append adds a piece.
func (f *Flight) Append(p graniteknot.Piece) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := f.size + graniteknot.Bytes(len(p.Data))
	if size > MaxSize || len(f.pieces) >= MaxPieces {
		return ErrTooLarge
	}
	f.size = size
	f.pieces = append(f.pieces, p)
	f.wake()
	return nil
}

// End ends the answer; only the first call counts.
func (f *Flight) End(e Ending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.ending = e
	f.wake()
}

func (f *Flight) wake() {
	if f.more != nil {
		close(f.more)
		f.more = nil
	}
}

// Len returns the number of pieces so far.
func (f *Flight) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pieces)
}

// Size returns the memory that the answer takes so far.
func (f *Flight) Size() graniteknot.Bytes {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size + graniteknot.Bytes(len(f.pieces))*pieceSize
}

// Ended returns how the answer ended, and whether it did.
func (f *Flight) Ended() (Ending, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ending, f.ended
}

// Wait blocks until there is a piece at a position or the answer has ended
// before it. It returns false in the latter case, and an error only when ctx
// is done.
func (f *Flight) Wait(ctx context.Context, at int) (graniteknot.Piece, bool, error) {
	for {
		piece, ok, wait := f.poll(at)
		if wait == nil {
			return piece, ok, nil
		}
		select {
		case <-ctx.Done():
			return graniteknot.Piece{}, false, ctx.Err()
		case <-wait:
		}
	}
}

func (f *Flight) poll(at int) (graniteknot.Piece, bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at < len(f.pieces) {
		return f.pieces[at], true, nil
	}
	if f.ended {
		return graniteknot.Piece{}, false, nil
	}
	if f.more == nil {
		f.more = make(chan struct{})
	}
	return graniteknot.Piece{}, false, f.more
}
