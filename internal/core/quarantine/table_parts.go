package quarantine

import "time"

const (
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
	var blames map[Key]*blame
	blames, t.explained = assignBlame(t.entries)
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
		if !entry.Blamed && entry.partBlocked(now.Add(-blameDelay)) {
			t.change(entry, &Entry{Key: k, Part: true, Blamed: true})
		}
	}
}
