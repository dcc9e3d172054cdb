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
	// maxCrashedReplicas bounds CrashedReplicas. The smallest marks are kept, so that all
	// processes keep the same ones.
	maxCrashedReplicas = 4
)

// Entry is what is known of one request.
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
	// AgeMillis is the least time since the request was first recorded, in milliseconds.
	AgeMillis int64 `cbor:"4,keyasint,omitempty"`
}

// Quarantined reports whether enough replicas crashed to quarantine the request.
func (e *Entry) Quarantined() bool {
	return !e.Released && len(e.CrashedReplicas) >= quarantineThreshold
}

// merge adds what another entry of the same key holds; false if nothing changed.
func (e *Entry) merge(other *Entry) bool {
	crashed := slices.Concat(e.CrashedReplicas, other.CrashedReplicas)
	slices.Sort(crashed)
	crashed = slices.Compact(crashed)
	crashed = crashed[:min(len(crashed), maxCrashedReplicas)]
	released, suspect := e.Released || other.Released, e.Suspect || other.Suspect
	if released == e.Released && suspect == e.Suspect && slices.Equal(crashed, e.CrashedReplicas) {
		return false
	}
	e.CrashedReplicas, e.Released, e.Suspect = crashed, released, suspect
	return true
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
	return xxhash.Sum64(b)
}

// tableEntry is an entry with a table's own bookkeeping.
type tableEntry struct {
	Entry

	// firstKnown is when the request was first recorded.
	firstKnown time.Time
	// onBlock holds the functions to call once the request is blocked.
	onBlock map[*func()]struct{}
}

// blocked reports whether the request must not reach replicas.
func (e *tableEntry) blocked(now time.Time) bool {
	return e.Quarantined() || e.Suspect && !e.Released && now.Sub(e.firstKnown) < suspectTTL
}

// expired reports whether the entry may be dropped.
func (e *tableEntry) expired(now time.Time) bool {
	if e.Quarantined() {
		return now.Sub(e.firstKnown) > quarantineTTL
	}
	return now.Sub(e.firstKnown) > entryTTL
}
