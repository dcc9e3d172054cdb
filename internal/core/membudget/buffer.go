package membudget

import (
	"errors"
	"io"
)

const (
	// Small is the size up to which a body is held whatever else is held: a request of that size
	// costs about as much as its head, which is read in any case.
	Small = 4 << 10
	// firstAllocation bounds what is allocated before anything was read, since a stated length may
	// be false.
	firstAllocation = 64 << 10
)

// ErrFull is returned when the budget does not allow to hold more.
var ErrFull = errors.New("memory budget exceeded")

// Buffer holds a body and counts it against a budget: its allocated or its stated length,
// whichever is more. The zero value is empty and unbounded.
type Buffer struct {
	Budget *Budget
	bytes  []byte
	held   int
}

// Bytes returns what was read.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Release empties the buffer.
func (b *Buffer) Release() {
	b.Budget.Release(b.held)
	b.bytes, b.held = nil, 0
}

// ReadAll reads to the end of r. A stated length, which is negative if unknown, is reserved before
// anything is read. After ErrFull the buffer holds all that was read.
func (b *Buffer) ReadAll(r io.Reader, stated int64) error {
	if stated > 0 && !b.reserve(int(stated)) {
		return ErrFull
	}
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow(stated) {
			return ErrFull
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow allocates more room, with one byte to spare for the read that finds the end.
func (b *Buffer) grow(stated int64) bool {
	size := max(Small, 2*len(b.bytes))
	switch {
	case stated < 0 || int64(len(b.bytes)) > stated:
	case len(b.bytes) == 0:
		size = int(min(stated, firstAllocation))
	default:
		size = int(min(stated, int64(size)))
	}
	if size > b.held && !b.reserve(size) {
		return false
	}
	grown := make([]byte, len(b.bytes), size+1)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// reserve counts the buffer as one of a size.
func (b *Buffer) reserve(size int) bool {
	more := size - b.held
	if size <= Small {
		b.Budget.Hold(more)
	} else if !b.Budget.Reserve(more) {
		return false
	}
	b.held = size
	return true
}
