package quarantine

import "time"

// maxEntries bounds a table to 200 KB.
const maxEntries = 1024

// add inserts a new entry; nil if there is no room. The caller holds the lock.
func (t *Table) add(fresh *tableEntry, now time.Time) *tableEntry {
	if len(t.entries) >= maxEntries {
		t.expire(now)
	}
	if len(t.entries) >= maxEntries && !t.evict(fresh) {
		return nil
	}
	if t.entries == nil {
		t.entries = map[Key]*tableEntry{}
	}
	t.entries[fresh.Key] = fresh
	t.digest ^= fresh.checksum()
	t.entryCount.Store(int32(len(t.entries)))
	return fresh
}

// evict makes room for an entry by removing the oldest of those with the fewest crashes that
// is not quarantined, or else the oldest of all; it never removes a quarantined entry for one that is not. The caller
// holds the lock.
func (t *Table) evict(fresh *tableEntry) bool {
	var oldest *tableEntry
	for _, entry := range t.entries {
		if oldest == nil || entry.evictedBefore(oldest) {
			oldest = entry
		}
	}
	if oldest.Quarantined() && !fresh.Quarantined() {
		return false
	}
	t.remove(oldest)
	return true
}

// evictedBefore reports whether the entry is to be removed rather than another one.
func (e *tableEntry) evictedBefore(other *tableEntry) bool {
	if e.Quarantined() != other.Quarantined() {
		return other.Quarantined()
	}
	if !e.Quarantined() && e.openCrashCount(nil) != other.openCrashCount(nil) {
		return e.openCrashCount(nil) < other.openCrashCount(nil)
	}
	return e.firstKnown.Before(other.firstKnown)
}

func (t *Table) remove(entry *tableEntry) {
	delete(t.entries, entry.Key)
	t.digest ^= entry.checksum()
	t.entryCount.Store(int32(len(t.entries)))
}

// Maintain removes expired entries and returns the keys of those that may have a record: requests
// that were quarantined, and parts. It also applies the rules on parts that depend on the time
// alone; call it every half second or so.
func (t *Table) Maintain(now time.Time) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settleBlame(now)
	t.cancelBlocked(now)
	return t.expire(now)
}

func (t *Table) expire(now time.Time) []Key {
	var out []Key
	for k, entry := range t.entries {
		if !entry.expired(now) {
			continue
		}
		if entry.Quarantined() || entry.Part {
			out = append(out, k)
		}
		t.remove(entry)
	}
	if len(out) > 0 {
		t.reassess(now)
	}
	return out
}
