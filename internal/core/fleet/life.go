package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// staleRecordsWindow is how long records are read more often after a sidecar
// reported a life without a record: replicas register within a second of starting.
const staleRecordsWindow = 3 * time.Second

// reportedLife is the life that a sidecar reported at its address.
type reportedLife struct {
	mark catalog.Mark
	// since is when it was first reported.
	since time.Time
}

// noteReportedLife records which life a sidecar reported at an address. The caller
// holds the lock.
func (t *Table) noteReportedLife(a graniteknot.Address, mark catalog.Mark, now time.Time) {
	known := t.reportedLives[a]
	if mark == 0 || mark == known.mark || now.Before(known.since) {
		return
	}
	if t.reportedLives == nil {
		t.reportedLives = map[graniteknot.Address]reportedLife{}
	}
	t.reportedLives[a] = reportedLife{mark: mark, since: now}
	t.markSuperseded(a)
}

// markSuperseded marks the records at an address whose lives have ended: those
// without a heartbeat since the sidecar there reported another life. After a power
// loss, replicas come back at the same addresses while the old records stay for
// three more heartbeats; the old ones would get requests if the new replica's report
// were taken for theirs. A sidecar that missed its replica's end delays the next life
// by one heartbeat. The caller holds the lock.
func (t *Table) markSuperseded(a graniteknot.Address) {
	known, reported := t.reportedLives[a]
	for _, x := range t.addresses[a] {
		x.superseded = reported && x.replica.Life().Mark() != known.mark && !x.lastHeartbeat.After(known.since)
	}
}

// RecordsStale reports whether a sidecar recently reported a life whose record isn't
// known, at an address where an older life's record is: the records should be read
// soon.
func (t *Table) RecordsStale(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, known := range t.reportedLives {
		if now.Sub(known.since) < staleRecordsWindow && t.allSuperseded(a) {
			return true
		}
	}
	return false
}

// allSuperseded reports whether an address has records and all are of lives that have
// ended. The caller holds the lock.
func (t *Table) allSuperseded(a graniteknot.Address) bool {
	for _, x := range t.addresses[a] {
		if !x.superseded {
			return false
		}
	}
	return len(t.addresses[a]) > 0
}

// RememberedLives returns the number of lives whose state is kept.
func (t *Table) RememberedLives() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.lives)
}
