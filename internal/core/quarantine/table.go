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
)

// Table holds the requests and the parts of prompts that replicas crashed on. The zero value
// is empty.
type Table struct {
	// OnChange, if not nil, is called with the entries that crashes or responses of this
	// process's own requests changed. Set it before use, like the other functions.
	OnChange func([]Entry)
	// OnEvidence, if not nil, is called when this process knows something in favor of parts
	// that other processes may not know; see TakeEvidence.
	OnEvidence func()
	// MayTry reports whether it is this process's turn to try a quarantined part; nil means
	// that no part is tried again.
	MayTry func(part Key, slot int64) bool

	mu      sync.Mutex
	entries map[Key]*tableEntry
	// digest combines the checksums of all entries.
	digest uint64
	// answered holds the requests that replicas recently answered to this process, served
	// the parts of prompts of requests that replicas outlived.
	answered, served recentKeys
	// firstSurvival is when a replica first outlived a request of this process.
	firstSurvival time.Time
	// evidence holds the parts in favor of which this process knows something that it has
	// neither sent to other processes nor received from them.
	evidence map[Key]struct{}
	waiters  map[*waiter]struct{}
	// explained holds the crashes that quarantined parts explain. Requests that were merely in
	// progress at these are not to blame.
	explained map[catalog.Mark]bool
	// recentCrashes are those of the last burstWindow.
	recentCrashes []crash
	// entryCount is len(entries); each request reads it without the lock.
	entryCount atomic.Int32
}

// Empty reports whether the table has no entries.
func (t *Table) Empty() bool { return t.entryCount.Load() == 0 }

// Blocked reports whether a request, or any request with a part, must not reach replicas now.
func (t *Table) Blocked(k Key, now time.Time) bool {
	return t.BlockedKey(&Subject{Request: k, Parts: []Key{k}}, now) != nil
}

// BlockedKey returns the key because of which a request must not reach replicas now: its own,
// or that of a part of its prompt; nil if there is none.
func (t *Table) BlockedKey(s *Subject, now time.Time) *Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blockedKey(s, now)
}

// blockedKey is BlockedKey with the lock held.
func (t *Table) blockedKey(s *Subject, now time.Time) *Key {
	if entry := t.entries[s.Request]; entry != nil && entry.requestBlocked(t.explained, now) {
		return &s.Request
	}
	for i := range s.Parts {
		if entry := t.entries[s.Parts[i]]; entry != nil && (entry.partBlocked(now) || entry.partBlockedJointly(s, now)) {
			return &s.Parts[i]
		}
	}
	return nil
}

// Blames reports whether a part is quarantined.
func (t *Table) Blames(part Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[part]
	return entry != nil && entry.blame != nil && !entry.blame.jointly
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
	return t.RecordSubjectCrash(&Subject{Request: k}, replica, false, now)
}

// RecordCrashBeforeResponse does the same for a replica of a lock-step group that had sent
// no part of the response; the request becomes a suspect.
func (t *Table) RecordCrashBeforeResponse(k Key, replica catalog.Mark, now time.Time) bool {
	return t.RecordSubjectCrash(&Subject{Request: k}, replica, true, now)
}

// RecordSubjectCrash records a crash for a request and the parts of its prompt. For parts, also
// the crashes of a burst count: survivals tell whether parts are the cause.
func (t *Table) RecordSubjectCrash(s *Subject, replica catalog.Mark, suspect bool, now time.Time) bool {
	isolated := t.isIsolatedCrash(replica, now)
	crashed := []catalog.Mark{replica}
	changes := make([]Entry, 0, 1+len(s.Parts))
	t.mu.Lock()
	if isolated {
		changes = append(changes, Entry{Key: s.Request, CrashedReplicas: crashed, Suspect: suspect, Released: t.answered.contains(s.Request)})
	}
	for _, part := range s.Parts {
		changes = append(changes, Entry{Key: part, Part: true, CrashedReplicas: crashed, ServedBefore: t.served.contains(part)})
	}
	t.mu.Unlock()
	t.applyLocal(changes, now)
	return isolated
}

// RecordResponse records that a replica answered a request, which releases it: the request
// does not crash every replica that starts it.
func (t *Table) RecordResponse(k Key, now time.Time) {
	t.mu.Lock()
	t.answered.add(k, now)
	known := t.entries[k] != nil
	t.mu.Unlock()
	if known {
		t.applyLocal([]Entry{{Key: k, Released: true}}, now)
	}
}

// applyLocal merges what this process observed, and reports the changes to OnChange.
func (t *Table) applyLocal(changes []Entry, now time.Time) {
	var changed []Entry
	for i := range changes {
		if !t.Merge(&changes[i], now) {
			continue
		}
		if entry, known := t.Entry(changes[i].Key, now); known {
			changed = append(changed, entry)
		}
	}
	if len(changed) > 0 && t.OnChange != nil {
		t.OnChange(changed)
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
	t.settleBlame(now)
	changed, evidence := t.mergeLocked(&fresh, e, now)
	if entry := t.entries[e.Key]; changed && entry != nil {
		if entry.Part && (entry.blame != nil || entry.Quarantined()) {
			t.reassess(now)
		}
		if entry.blame != nil || entry.requestBlocked(t.explained, now) {
			t.cancelBlocked(now)
		}
	}
	t.mu.Unlock()
	if evidence && t.OnEvidence != nil {
		t.OnEvidence()
	}
	return changed
}

// mergeLocked merges an entry; fresh is the same as a new table entry. It also reports
// whether this process knows something in favor of a part that the entry does not hold.
func (t *Table) mergeLocked(fresh *tableEntry, e *Entry, now time.Time) (changed, evidence bool) {
	entry := t.entries[e.Key]
	if entry == nil {
		if entry = t.add(fresh, now); entry == nil {
			return false, false
		}
		changed = true
	} else {
		if fresh.firstKnown.Before(entry.firstKnown) {
			entry.firstKnown = fresh.firstKnown
		}
		changed = t.change(entry, e)
	}
	if !entry.Part {
		return changed, false
	}
	if !entry.ServedBefore && t.served.contains(e.Key) {
		t.change(entry, &Entry{Key: e.Key, Part: true, ServedBefore: true})
		t.addEvidence(e.Key)
		return true, true
	}
	if entry.equal(e) {
		delete(t.evidence, e.Key)
	}
	return changed, false
}

// change merges into an existing entry and updates the digest.
func (t *Table) change(entry *tableEntry, e *Entry) bool {
	before := entry.checksum()
	changed := entry.merge(e)
	t.digest ^= before ^ entry.checksum()
	return changed
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
	return t.count(func(e *tableEntry) bool { return !e.Part && e.Quarantined() })
}

// QuarantinedParts returns the number of quarantined parts of prompts.
func (t *Table) QuarantinedParts() int {
	return t.count(func(e *tableEntry) bool { return e.blame != nil && !e.blame.jointly })
}

func (t *Table) count(is func(*tableEntry) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, entry := range t.entries {
		if is(entry) {
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
