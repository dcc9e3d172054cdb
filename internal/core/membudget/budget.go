package membudget

import "sync"

// Budget counts bytes held and bounds them. The zero value is unbounded, as is a nil Budget, which
// counts nothing.
type Budget struct {
	mu    sync.Mutex
	limit int64
	held  int64
}

// SetLimit sets the bound; 0 is none.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Reserve counts n more bytes, or returns false if they would exceed the bound.
func (b *Budget) Reserve(n int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.held+int64(n) > b.limit {
		return false
	}
	b.held += int64(n)
	return true
}

// Hold counts n more bytes whether or not they exceed the bound.
func (b *Budget) Hold(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += int64(n)
}

// Release counts n bytes less.
func (b *Budget) Release(n int) { b.Hold(-n) }

// Held returns the bytes held.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Limit returns the bound; 0 is none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}
