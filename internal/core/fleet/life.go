package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// doubtedFor is for how long the record of a life that a sidecar told of is looked for
// more often than usual: replicas register within a second of their start.
const doubtedFor = 3 * time.Second

// life is the replica that a sidecar told to be at its address.
type life struct {
	mark catalog.Mark
	// since is when it was first told.
	since time.Time
}

// met takes in which life is at an address; called with the lock held.
func (t *Table) met(a graniteknot.Address, mark catalog.Mark, now time.Time) {
	known := t.lives[a]
	if mark == 0 || mark == known.mark || now.Before(known.since) {
		return
	}
	if t.lives == nil {
		t.lives = map[graniteknot.Address]life{}
	}
	t.lives[a] = life{mark: mark, since: now}
	t.outlive(a)
}

// outlive finds out which records at an address are of lives that have ended: those that
// no heartbeat has come to since the sidecar there told of another life. After a loss of
// power replicas come back at the same addresses while the records of the
// former ones stand for three heartbeats more, and would get requests, were the new
// replica's report taken for the old one's. A sidecar that did not notice its replica's end
// keeps the next one back for a heartbeat. Called with the lock held.
func (t *Table) outlive(a graniteknot.Address) {
	known, told := t.lives[a]
	for _, x := range t.addresses[a] {
		x.outlived = told && x.replica.Life().Mark() != known.mark && !x.beat.After(known.since)
	}
}

// RecordsStale tells whether a sidecar told of a life of late whose record is not known while
// that of a former one at its address is: then the records are to be read soon.
func (t *Table) RecordsStale(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, known := range t.lives {
		if now.Sub(known.since) < doubtedFor && t.unread(a) {
			return true
		}
	}
	return false
}

// unread tells whether all records at an address are of lives that have ended, of which
// there are some; called with the lock held.
func (t *Table) unread(a graniteknot.Address) bool {
	for _, x := range t.addresses[a] {
		if !x.outlived {
			return false
		}
	}
	return len(t.addresses[a]) > 0
}
