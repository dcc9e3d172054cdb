package quarantine

import (
	"slices"
	"time"
)

const (
	// firstTrial is when a quarantined part is first tried again, counted from its first
	// crash; each crash beyond the threshold multiplies the delay by trialBackoff.
	firstTrial   = 2 * time.Minute
	trialBackoff = 4
	// tieTrial is when parts that cannot be told apart are first tried, counted from when they
	// are quarantined: one trial tells whether it is this part.
	tieTrial = 5 * time.Second
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
	// No other reason may block the request. A tie that no trial of one part has resolved is
	// tried as a whole.
	tried := []Key{*key}
	if entry.fullTrialDue(now) {
		tried = append(tried, entry.blame.tied...)
	}
	others := Subject{Request: s.Request, Parts: slices.DeleteFunc(slices.Clone(s.Parts), func(k Key) bool { return slices.Contains(tried, k) })}
	return t.blockedKey(&others, now) == nil
}

// TryAgain lets all quarantined parts be tried without delay, until the next crash.
func (t *Table) TryAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range t.entries {
		if entry.blame != nil {
			entry.tryAgainAt = entry.openCrashCount(nil)
		}
	}
}

// trialSlot returns the number of the current trial slot, counted from 1; 0 before the first
// trial is due.
func (e *tableEntry) trialSlot(now time.Time) int64 {
	if !e.trialDue(now) {
		return 0
	}
	return int64(now.Sub(e.firstKnown)/trialSlot) + 1
}

func (e *tableEntry) trialDue(now time.Time) bool {
	if e.blame != nil && len(e.blame.tied) > 0 && now.Sub(e.quarantinedSince) >= tieTrial {
		return true
	}
	return e.fullTrialDue(now)
}

// fullTrialDue reports whether the part is due to be tried whether or not it is tied.
func (e *tableEntry) fullTrialDue(now time.Time) bool {
	if e.tryAgainAt > 0 && e.tryAgainAt == e.openCrashCount(nil) {
		return true
	}
	due := firstTrial
	for range e.openCrashCount(nil) - e.threshold() {
		due *= trialBackoff
	}
	return now.Sub(e.firstKnown) >= due
}
