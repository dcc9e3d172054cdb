package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"graniteknot.org/go/catalog"
)

const (
	// quarantineThreshold is the number of crashed replicas from which on a request is
	// quarantined. One replica may crash for any reason with a dozen requests in
	// progress; that the next one that gets the same request crashes as well is rarely a
	// coincidence. In a lock-step group, each further crash costs all clients the seconds
	// that the group needs to resume.
	quarantineThreshold = 2
	// partThreshold is the same for a part of prompts. A rare part is in progress at one
	// crash by chance, and seldom at two; a crash has a dozen requests in progress.
	partThreshold = 3
	// servedPartThreshold applies to a part that replicas served before. It is most likely a
	// frequent one that is in progress at every crash.
	servedPartThreshold = 5
	// maxCrashedReplicas and maxPartCrashes bound CrashedReplicas of requests and parts. The
	// smallest marks are kept, so that all processes keep the same ones.
	maxCrashedReplicas = 4
	maxPartCrashes     = 16
)

// Entry is what is known of one request, or of one part of prompts.
type Entry struct {
	Key Key `cbor:"1,keyasint"`
	// CrashedReplicas are the marks of the replica instances that crashed while they
	// worked on the request, in ascending order without duplicates.
	CrashedReplicas []catalog.Mark `cbor:"2,keyasint,omitempty"`
	// Released exempts the request, whatever CrashedReplicas holds: a replica has answered
	// it, or an operator released it. Never reset.
	Released bool `cbor:"3,keyasint,omitempty"`
	// Suspect is set if a replica crashed before it had answered anything, and its crash
	// stalls a lock-step group. Never reset.
	Suspect bool `cbor:"5,keyasint,omitempty"`
	// Part marks the entry of a part of prompts.
	Part bool `cbor:"6,keyasint,omitempty"`
	// Survived are those of a part's CrashedReplicas after whose crash another replica
	// outlived a request with the part, in ascending order without duplicates.
	Survived []catalog.Mark `cbor:"7,keyasint,omitempty"`
	// ServedBefore is set once a process knows that replicas served requests with the part.
	// Never reset.
	ServedBefore bool `cbor:"8,keyasint,omitempty"`
	// Blamed is set once a process has blocked the part for some time. Never reset: from
	// then on, too few requests with the part reach replicas to compare its crashes with those
	// of others.
	Blamed bool `cbor:"9,keyasint,omitempty"`
	// AgeMillis is the least time since the request was first recorded, in milliseconds.
	AgeMillis int64 `cbor:"4,keyasint,omitempty"`
}

// Quarantined reports whether enough replicas crashed to quarantine the request, or a part
// whose crashes no other part explains.
func (e *Entry) Quarantined() bool {
	return !e.Released && e.openCrashCount(nil) >= e.threshold()
}

func (e *Entry) threshold() int {
	switch {
	case e.Part && e.ServedBefore:
		return servedPartThreshold
	case e.Part:
		return partThreshold
	}
	return quarantineThreshold
}

func (e *Entry) maxCrashes() int {
	if e.Part {
		return maxPartCrashes
	}
	return maxCrashedReplicas
}

// openCrashCount returns how many crashes speak against the entry, except for explained ones.
func (e *Entry) openCrashCount(explained map[catalog.Mark]bool) int {
	n := 0
	for _, mark := range e.CrashedReplicas {
		if !explained[mark] && !slices.Contains(e.Survived, mark) {
			n++
		}
	}
	return n
}

// openCrashes returns the crashes that speak against the entry.
func (e *Entry) openCrashes() []catalog.Mark {
	return slices.DeleteFunc(slices.Clone(e.CrashedReplicas), func(m catalog.Mark) bool { return slices.Contains(e.Survived, m) })
}

// merge adds what another entry of the same key holds; false if nothing changed.
func (e *Entry) merge(other *Entry) bool {
	out := Entry{
		Key: e.Key, AgeMillis: e.AgeMillis,
		Released: e.Released || other.Released, Suspect: e.Suspect || other.Suspect,
		Part: e.Part || other.Part, ServedBefore: e.ServedBefore || other.ServedBefore,
		Blamed: e.Blamed || other.Blamed,
	}
	out.CrashedReplicas = union(e.CrashedReplicas, other.CrashedReplicas)
	out.CrashedReplicas = out.CrashedReplicas[:min(len(out.CrashedReplicas), out.maxCrashes())]
	out.Survived = union(e.Survived, other.Survived)
	out.Survived = slices.DeleteFunc(out.Survived, func(m catalog.Mark) bool { return !slices.Contains(out.CrashedReplicas, m) })
	if out.equal(e) {
		return false
	}
	*e = out
	return true
}

// equal reports whether two entries of one key hold the same, whatever their ages.
func (e *Entry) equal(other *Entry) bool {
	return e.Released == other.Released && e.Suspect == other.Suspect && e.Part == other.Part && e.ServedBefore == other.ServedBefore && e.Blamed == other.Blamed &&
		slices.Equal(e.CrashedReplicas, other.CrashedReplicas) && slices.Equal(e.Survived, other.Survived)
}

// union returns the marks of both lists in ascending order without duplicates.
func union(a, b []catalog.Mark) []catalog.Mark {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// checksum is the entry's part of the table's digest.
func (e *Entry) checksum() uint64 {
	b := append([]byte(nil), e.Key[:]...)
	for _, mark := range e.CrashedReplicas {
		b = binary.BigEndian.AppendUint32(b, uint32(mark))
	}
	if e.Released {
		b = append(b, 1)
	}
	if e.Suspect {
		b = append(b, 2)
	}
	if e.ServedBefore {
		b = append(b, 3)
	}
	if e.Blamed {
		b = append(b, 4)
	}
	for _, mark := range e.Survived {
		b = binary.BigEndian.AppendUint32(b, uint32(mark))
	}
	return xxhash.Sum64(b)
}

// tableEntry is an entry with a table's own bookkeeping.
type tableEntry struct {
	Entry

	// firstKnown is when the request or part was first recorded.
	firstKnown time.Time
	// quarantinedSince is since when a part is quarantined; zero while it is not. delayed is
	// set if it is blocked servedPartDelay later.
	quarantinedSince time.Time
	delayed          bool
	// tryAgainAt is the number of crashes at which the part is tried without delay; 0 for none.
	tryAgainAt int
	// blame is what the part is quarantined for; nil while it is not.
	blame *blame
	// triedSlot is the last trial slot, counted from 1, in which this process let a request
	// with the part through or found that it was another process's turn.
	triedSlot int64
}

// requestBlocked reports whether the request must not reach replicas, but for explained crashes.
func (e *tableEntry) requestBlocked(explained map[catalog.Mark]bool, now time.Time) bool {
	if e.Part || e.Released {
		return false
	}
	n := e.openCrashCount(explained)
	return n >= quarantineThreshold || e.Suspect && n > 0 && now.Sub(e.firstKnown) < suspectTTL
}

// partBlocked reports whether requests with the part must not reach replicas.
func (e *tableEntry) partBlocked(now time.Time) bool {
	return e.blame != nil && !e.blame.jointly && !now.Before(e.blockedFrom())
}

// partBlockedJointly reports whether a request must not reach replicas because it has all of some
// parts that cannot be told apart.
func (e *tableEntry) partBlockedJointly(s *Subject, now time.Time) bool {
	if e.blame == nil || !e.blame.jointly || now.Before(e.blockedFrom()) {
		return false
	}
	for _, tied := range e.blame.tied {
		if !slices.Contains(s.Parts, tied) {
			return false
		}
	}
	return true
}

// blockedFrom returns from when on a quarantined part is blocked. A frequent part is in progress
// at all crashes of a burst, but other replicas soon outlive requests with it.
func (e *tableEntry) blockedFrom() time.Time {
	if e.delayed {
		return e.quarantinedSince.Add(servedPartDelay)
	}
	return e.quarantinedSince
}

// expired reports whether the entry may be dropped.
func (e *tableEntry) expired(now time.Time) bool {
	if e.Quarantined() {
		return now.Sub(e.firstKnown) > quarantineTTL
	}
	return now.Sub(e.firstKnown) > entryTTL
}
