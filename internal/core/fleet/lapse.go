package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
)

// LapseGrace is how long after the return of the store a replica stays in use whose record
// vanished while the store was away: a live replica registers again within it.
const LapseGrace = 2 * time.Second

// MarkLapsed marks a record as vanished while the store can't be trusted. It returns
// whether anything changed.
func (t *Table) MarkLapsed(id catalog.ReplicaID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.targets[id]
	if old == nil || !old.lapsed.IsZero() {
		return false
	}
	old.lapsed = now
	t.lapsed++
	return true
}

// HasLapsed reports whether any record has lapsed.
func (t *Table) HasLapsed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lapsed > 0
}

// unmarkLapsed marks a target's record as present. The caller holds the lock.
func (t *Table) unmarkLapsed(x *target) {
	if !x.lapsed.IsZero() {
		t.lapsed--
	}
	x.lapsed, x.lapseEnds = time.Time{}, time.Time{}
}

// Lapsed returns the IDs of the replicas whose records have lapsed.
func (t *Table) Lapsed() []catalog.ReplicaID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []catalog.ReplicaID
	for id, x := range t.targets {
		if !x.lapsed.IsZero() {
			out = append(out, id)
		}
	}
	return out
}

// RemoveLapsed removes the replicas whose records have lapsed, once the store has been
// back for LapseGrace since the given time, however late the record was found to have
// vanished. It returns their IDs. Those that are not due yet get no requests from then on.
func (t *Table) RemoveLapsed(back, now time.Time) []catalog.ReplicaID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []catalog.ReplicaID
	if t.lapsed == 0 {
		return out
	}
	for id, x := range t.targets {
		if x.lapsed.IsZero() {
			continue
		}
		x.lapseEnds = back.Add(LapseGrace)
		if !now.Before(x.lapseEnds) {
			out = append(out, id)
		}
	}
	for _, id := range out {
		t.remove(id)
	}
	return out
}

// ClearLapsed marks all records as present again.
func (t *Table) ClearLapsed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lapsed == 0 {
		return
	}
	for _, x := range t.targets {
		t.unmarkLapsed(x)
	}
}

// KeepLapsed keeps the replicas whose records have lapsed in use while the store is away again.
func (t *Table) KeepLapsed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lapsed == 0 {
		return
	}
	for _, x := range t.targets {
		x.lapseEnds = time.Time{}
	}
}

// lapseEnded reports whether a replica's record lapsed and did not come back in time.
func (t *target) lapseEnded(now time.Time) bool {
	return !t.lapsed.IsZero() && !t.lapseEnds.IsZero() && !now.Before(t.lapseEnds)
}
