package catalog

import (
	"sync"
	"time"
)

// Holder keeps the newest tree and when it was last proved to be the newest.
// The zero value holds nothing. Versions never go back.
type Holder struct {
	mu   sync.Mutex
	tree *Tree
	// proved is the start of the last read that showed the tree to be the
	// newest; zero before the first.
	proved time.Time
	// shown is the highest version that the store has shown since it last came back from
	// an older copy.
	shown Version
}

// Renew notes that the store has come back from an older copy: what it shows proves nothing
// until it has shown the version in force, since newer ones may be lost with it. In force it
// stays.
func (h *Holder) Renew() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shown = 0
}

// Show notes a version that the store has.
func (h *Holder) Show(v Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shown = max(h.shown, v)
}

// Behind tells whether the store, since it last came back from an older copy, has not shown the
// version in force.
func (h *Holder) Behind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tree != nil && h.shown < h.tree.Version
}

// Unchanged notes a read of the store, begun at the given time, that brought nothing new. It
// returns false where that proves nothing.
func (h *Holder) Unchanged(readBegan time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tree == nil || h.shown < h.tree.Version {
		return false
	}
	h.prove(readBegan)
	return true
}

// Offer takes a tree that a read begun at the given time returned.
func (h *Holder) Offer(t *Tree, readBegan time.Time) (changed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tree != nil && t.Version < h.tree.Version {
		return false, &Error{Op: "offer", Kind: KindOlder}
	}
	changed = h.tree == nil || t.Version > h.tree.Version
	if changed {
		h.tree = t
	}
	h.prove(readBegan)
	return changed, nil
}

// Prove notes that a read begun at the given time showed the version to be
// the newest. It returns false when the holder has another version.
func (h *Holder) Prove(v Version, readBegan time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tree == nil || h.tree.Version != v {
		return false
	}
	h.prove(readBegan)
	return true
}

// prove is called with the lock held.
func (h *Holder) prove(at time.Time) {
	if at.After(h.proved) {
		h.proved = at
	}
}

// Current returns the tree, nil before the first, and how long ago the read
// began that last proved it to be the newest.
func (h *Holder) Current(now time.Time) (*Tree, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tree == nil {
		return nil, 0
	}
	return h.tree, now.Sub(h.proved)
}
