package catalog

import (
	"sync"
	"time"
)

// Holder keeps the newest tree and when it was last confirmed to be the newest. The zero value is
// empty. Versions never decrease.
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

// Renew records that the store was restored from an older copy. Its reads confirm nothing until they
// have returned the version in force, since newer versions may have been lost. The tree stays in
// force.
func (h *Holder) Renew() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shown = 0
}

// Show records that a read of the store returned a version.
func (h *Holder) Show(v Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shown = max(h.shown, v)
}

// Behind reports whether the store has not returned the version in force since it was restored from
// an older copy.
func (h *Holder) Behind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tree != nil && h.shown < h.tree.Version
}

// Unchanged records a read of the store, begun at the given time, that returned nothing new. It
// returns false if that does not confirm the tree.
func (h *Holder) Unchanged(readBegan time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tree == nil || h.shown < h.tree.Version {
		return false
	}
	h.prove(readBegan)
	return true
}

// Offer offers a tree that a read begun at the given time returned; an older one is rejected.
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

// Prove records that a read begun at the given time confirmed the version to be the newest. It returns
// false if the holder has another version.
func (h *Holder) Prove(v Version, readBegan time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tree == nil || h.tree.Version != v {
		return false
	}
	h.prove(readBegan)
	return true
}

// prove implements Prove. The caller holds the lock.
func (h *Holder) prove(at time.Time) {
	if at.After(h.proved) {
		h.proved = at
	}
}

// Current returns the tree, nil before the first, and how long ago the read began that last confirmed
// it to be the newest.
func (h *Holder) Current(now time.Time) (*Tree, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tree == nil {
		return nil, 0
	}
	return h.tree, now.Sub(h.proved)
}
