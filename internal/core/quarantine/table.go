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
	// servedPartDelay is how long a part that was served before is quarantined until it is
	// blocked: longer than it takes to hear from other processes that replicas outlive
	// requests with it.
	servedPartDelay = time.Second
	// startPeriod is how long after the first survival a process cannot tell whether a part is
	// served at all.
	startPeriod = 2 * time.Second
	// blameDelay is how long a part is blocked before it is marked as blamed: longer than
	// it takes to hear of all requests that were in progress at a crash.
	blameDelay = 400 * time.Millisecond
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
	return t.BlockedKey(&Subject{Request: k}, now) != nil
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
	if entry := t.entries[s.Request]; entry != nil && entry.blocked(now) {
		return &s.Request
	}
	for i := range s.Parts {
		if entry := t.entries[s.Parts[i]]; entry != nil && (entry.blocked(now) || entry.blockedJointly(s, now)) {
			return &s.Parts[i]
		}
	}
	return nil
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

// RecordSurvival records that a replica outlived a request with these parts in its prompt,
// which clears them of all crashes that are known so far.
func (t *Table) RecordSurvival(parts []Key, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	if t.firstSurvival.IsZero() {
		t.firstSurvival = now
	}
	changed := false
	for _, part := range parts {
		t.served.add(part, now)
		entry := t.entries[part]
		if entry == nil || entry.openCrashCount(nil) == 0 {
			continue
		}
		t.change(entry, &Entry{Key: part, Part: true, CrashedReplicas: entry.CrashedReplicas, Survived: entry.CrashedReplicas, ServedBefore: true})
		t.addEvidence(part)
		changed = true
		if entry.blame != nil {
			t.reassess(now)
		}
	}
	t.mu.Unlock()
	if changed && t.OnEvidence != nil {
		t.OnEvidence()
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
		if entry.blame != nil || entry.blocked(now) {
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

// addEvidence notes that this process knows something in favor of a part.
func (t *Table) addEvidence(part Key) {
	if t.evidence == nil {
		t.evidence = map[Key]struct{}{}
	}
	t.evidence[part] = struct{}{}
}

// TakeEvidence returns the entries of the parts in favor of which this process knows
// something that other processes may not know. Another process that knows the same may send
// it first; so a short random delay saves most messages.
func (t *Table) TakeEvidence(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for part := range t.evidence {
		if entry := t.entries[part]; entry != nil {
			out = append(out, entry.snapshot(now))
		}
	}
	t.evidence = nil
	return out
}

// reassess finds out which parts crash replicas.
func (t *Table) reassess(now time.Time) {
	blames := assignBlame(t.entries)
	for k, entry := range t.entries {
		entry.blame = blames[k]
		switch {
		case entry.blame == nil:
			entry.quarantinedSince = time.Time{}
		case entry.quarantinedSince.IsZero():
			entry.quarantinedSince = now
			starting := t.firstSurvival.IsZero() || now.Sub(t.firstSurvival) < startPeriod
			entry.delayed = !entry.Blamed && (entry.ServedBefore || starting)
		}
	}
}

// settleBlame marks the parts that have been blocked for blameDelay.
func (t *Table) settleBlame(now time.Time) {
	for k, entry := range t.entries {
		if entry.Part && !entry.Blamed && entry.blocked(now.Add(-blameDelay)) {
			t.change(entry, &Entry{Key: k, Part: true, Blamed: true})
		}
	}
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
