package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// quarantineTTL is how long a request stays quarantined: longer than it takes to find
	// and fix a fault in the replicas' software.
	quarantineTTL = 24 * time.Hour
	// entryTTL is how long all other entries are kept: a single crash, or a release.
	entryTTL = 10 * time.Minute
	// suspectTTL is how long a suspect is blocked. A request that crashes every replica that
	// starts it is among the few that had just started, and is soon retried; the second
	// crash, which would tell it from the others, stalls the lock-step group for all of its
	// clients. Blocking the others as well costs little: they had received nothing yet, and
	// their group is stalled for as long as their clients wait.
	suspectTTL = time.Minute
	// maxEntries bounds a table to 100 KB.
	maxEntries = 1024
	// burstWindow is the time within which at most maxBurstCrashes crashes are attributed to
	// requests. A power failure ends hundreds of replicas, each with a dozen requests.
	burstWindow     = time.Second
	maxBurstCrashes = 3
)

// Table holds the requests that replicas crashed on. The zero value is empty.
type Table struct {
	// OnChange, if not nil, is called with each entry that this process's own requests
	// changed. Set it before use.
	OnChange func(Entry)

	mu      sync.Mutex
	entries map[Key]*tableEntry
	// digest combines the checksums of all entries.
	digest uint64
	// answered holds the requests that replicas recently answered to this process.
	answered recentKeys
	// recentCrashes are those of the last burstWindow.
	recentCrashes []crash
	// entryCount is len(entries); each request reads it without the lock.
	entryCount atomic.Int32
}

// crash is the crash of one replica instance.
type crash struct {
	replica catalog.Mark
	at      time.Time
}

// Empty reports whether the table has no entries.
func (t *Table) Empty() bool { return t.entryCount.Load() == 0 }

// Blocked reports whether a request must not reach replicas now, quarantined or suspect.
func (t *Table) Blocked(k Key, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[k]
	return entry != nil && entry.blocked(now)
}

// Quarantined reports whether enough replicas crashed to quarantine a request.
func (t *Table) Quarantined(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[k]
	return entry != nil && entry.Quarantined()
}

// RecordCrash records that a replica crashed while it worked on a request. It returns false
// if so many replicas crash at once that requests are not the cause.
func (t *Table) RecordCrash(k Key, replica catalog.Mark, now time.Time) bool {
	return t.recordCrash(Entry{Key: k, CrashedReplicas: []catalog.Mark{replica}}, now)
}

// RecordCrashBeforeResponse does the same for a replica of a lock-step group that had sent
// no part of the response; the request becomes a suspect.
func (t *Table) RecordCrashBeforeResponse(k Key, replica catalog.Mark, now time.Time) bool {
	return t.recordCrash(Entry{Key: k, CrashedReplicas: []catalog.Mark{replica}, Suspect: true}, now)
}

func (t *Table) recordCrash(e Entry, now time.Time) bool {
	if !t.isIsolatedCrash(e.CrashedReplicas[0], now) {
		return false
	}
	e.Released = t.recentlyAnswered(e.Key)
	t.applyLocal(e, now)
	return true
}

// recentlyAnswered reports whether this process recently saw the request answered.
func (t *Table) recentlyAnswered(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered.contains(k)
}

// RecordResponse records that a replica answered a request, which releases it: the request
// does not crash every replica that starts it.
func (t *Table) RecordResponse(k Key, now time.Time) {
	t.mu.Lock()
	t.answered.add(k, now)
	known := t.entries[k] != nil
	t.mu.Unlock()
	if known {
		t.applyLocal(Entry{Key: k, Released: true}, now)
	}
}

// isIsolatedCrash reports whether few replicas crashed within burstWindow.
func (t *Table) isIsolatedCrash(replica catalog.Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recentCrashes = slices.DeleteFunc(t.recentCrashes, func(c crash) bool { return now.Sub(c.at) > burstWindow })
	if slices.ContainsFunc(t.recentCrashes, func(c crash) bool { return c.replica == replica }) {
		return true
	}
	if len(t.recentCrashes) >= maxBurstCrashes {
		return false
	}
	t.recentCrashes = append(t.recentCrashes, crash{replica, now})
	return true
}

// applyLocal merges what this process observed, and reports a change to OnChange.
func (t *Table) applyLocal(e Entry, now time.Time) {
	if !t.Merge(&e, now) || t.OnChange == nil {
		return
	}
	if entry, known := t.Entry(e.Key, now); known {
		t.OnChange(entry)
	}
}

// Merge adds what another process or the store knows; false if nothing changed.
func (t *Table) Merge(e *Entry, now time.Time) bool {
	firstKnown := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
	fresh := tableEntry{Entry: Entry{Key: e.Key}, firstKnown: firstKnown}
	fresh.merge(e)
	if fresh.expired(now) || len(e.CrashedReplicas) == 0 && !e.Released {
		return false
	}
	t.mu.Lock()
	entry := t.entries[e.Key]
	if entry == nil {
		entry = t.add(&fresh, now)
		t.mu.Unlock()
		return entry != nil
	}
	if firstKnown.Before(entry.firstKnown) {
		entry.firstKnown = firstKnown
	}
	before := entry.checksum()
	changed := entry.merge(e)
	t.digest ^= before ^ entry.checksum()
	var wake []*func()
	if changed && entry.blocked(now) {
		for w := range entry.onBlock {
			wake = append(wake, w)
		}
	}
	t.mu.Unlock()
	for _, w := range wake {
		(*w)()
	}
	return changed
}

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

// evict makes room for an entry by removing the oldest one that is not quarantined, or else
// the oldest of all; it never removes a quarantined entry for one that is not. The caller
// holds the lock.
func (t *Table) evict(fresh *tableEntry) bool {
	var oldest *tableEntry
	for _, entry := range t.entries {
		if oldest == nil || oldest.Quarantined() && !entry.Quarantined() || oldest.Quarantined() == entry.Quarantined() && entry.firstKnown.Before(oldest.firstKnown) {
			oldest = entry
		}
	}
	if oldest.Quarantined() && !fresh.Quarantined() {
		return false
	}
	t.remove(oldest)
	return true
}

func (t *Table) remove(entry *tableEntry) {
	delete(t.entries, entry.Key)
	t.digest ^= entry.checksum()
	t.entryCount.Store(int32(len(t.entries)))
}

// Expire removes expired entries and returns the keys of those that were quarantined.
func (t *Table) Expire(now time.Time) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expire(now)
}

func (t *Table) expire(now time.Time) []Key {
	var out []Key
	for k, entry := range t.entries {
		if !entry.expired(now) {
			continue
		}
		if entry.Quarantined() {
			out = append(out, k)
		}
		t.remove(entry)
	}
	return out
}

// Digest returns a digest of all entries; tables with the same entries have the same one.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Entries returns all entries, sorted by key.
func (t *Table) Entries(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Entry, 0, len(t.entries))
	for _, entry := range t.entries {
		out = append(out, entry.snapshot(now))
	}
	slices.SortFunc(out, func(a, b Entry) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return out
}

// QuarantinedCount returns the number of quarantined requests.
func (t *Table) QuarantinedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, entry := range t.entries {
		if entry.Quarantined() {
			n++
		}
	}
	return n
}

// Entry returns the entry of a request, if there is one.
func (t *Table) Entry(k Key, now time.Time) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.entries[k]; entry != nil {
		return entry.snapshot(now), true
	}
	return Entry{}, false
}

// snapshot returns a copy with its current age, for other processes.
func (e *tableEntry) snapshot(now time.Time) Entry {
	out := e.Entry
	out.AgeMillis = now.Sub(e.firstKnown).Milliseconds()
	return out
}
