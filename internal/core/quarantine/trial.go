package quarantine

import "time"

const (
	// firstTrial is when a quarantined part is first tried again, counted from its first
	// crash; each crash beyond the threshold multiplies the delay by trialBackoff.
	firstTrial   = 2 * time.Minute
	trialBackoff = 4
	// trialSlot is how long one process may try a part before it is another one's turn.
	trialSlot = 30 * time.Second
)

// Trial lets a request through although a part of its prompt is quarantined, which finds out
// whether the part still crashes replicas. In each trial slot, one request of one process is
// let through: MayTry picks the process.
func (t *Table) Trial(s *Subject, now time.Time) bool {
	if t.MayTry == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := t.blockedKey(s, now)
	if key == nil || t.entries[*key] == nil || !t.entries[*key].Part {
		return false
	}
	entry := t.entries[*key]
	slot := entry.trialSlot(now)
	if slot == 0 || slot == entry.triedSlot {
		return false
	}
	entry.triedSlot = slot
	if !t.MayTry(*key, slot) {
		return false
	}
	// No other reason may block the request.
	for _, k := range append([]Key{s.Request}, s.Parts...) {
		if other := t.entries[k]; k != *key && other != nil && other.blocked(now) {
			return false
		}
	}
	return true
}

// trialSlot returns the number of the current trial slot, counted from 1; 0 before the first
// trial is due.
func (e *tableEntry) trialSlot(now time.Time) int64 {
	due := firstTrial
	for range e.openCrashCount(nil) - e.threshold() {
		due *= trialBackoff
	}
	since := now.Sub(e.firstKnown)
	if since < due {
		return 0
	}
	return int64(since/trialSlot) + 1
}
