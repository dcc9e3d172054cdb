package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"graniteknot.org/go/catalog"
)

const (
	// enough is under how many ended replicas a request is kept from all others. One may
	// end for any reason under a dozen requests; that the next one that gets the same
	// request ends too is seldom chance. Each more costs all callers
	// of a lock-step group the seconds until it opens again.
	enough = 2
	// mostLives bounds the lives that are kept of an entry; those with the least marks
	// are, so that all processes keep the same.
	mostLives = 4
)

// Entry is what is known of one request.
type Entry struct {
	Key Key `cbor:"1,keyasint"`
	// CrashedReplicas are the marks of the replicas that ended under the request, the least first,
	// none twice.
	CrashedReplicas []catalog.Mark `cbor:"2,keyasint,omitempty"`
	// Released requests are kept from nobody, whatever Lives: a replica has answered it,
	// or an operator said so. Once set it stays.
	Released bool `cbor:"3,keyasint,omitempty"`
	// Suspect requests were at a replica that ended before it had answered anything of them,
	// and whose end costs all others. Once set it stays.
	Suspect bool `cbor:"5,keyasint,omitempty"`
	// AgeMillis is how long ago it was first known, at least, in milliseconds.
	AgeMillis int64 `cbor:"4,keyasint,omitempty"`
}

// Quarantined tells whether the request is kept from replicas.
func (e *Entry) Quarantined() bool { return !e.Released && len(e.CrashedReplicas) >= enough }

// merge takes in what another entry of the same key says; false when nothing is new.
func (e *Entry) merge(other *Entry) bool {
	lives := slices.Concat(e.CrashedReplicas, other.CrashedReplicas)
	slices.Sort(lives)
	lives = slices.Compact(lives)
	lives = lives[:min(len(lives), mostLives)]
	released, suspect := e.Released || other.Released, e.Suspect || other.Suspect
	if released == e.Released && suspect == e.Suspect && slices.Equal(lives, e.CrashedReplicas) {
		return false
	}
	e.CrashedReplicas, e.Released, e.Suspect = lives, released, suspect
	return true
}

// sum is the entry's part of a table's digest.
func (e *Entry) sum() uint64 {
	b := append([]byte(nil), e.Key[:]...)
	for _, life := range e.CrashedReplicas {
		b = binary.BigEndian.AppendUint32(b, uint32(life))
	}
	if e.Released {
		b = append(b, 1)
	}
	if e.Suspect {
		b = append(b, 2)
	}
	return xxhash.Sum64(b)
}

// item is an entry as a table holds it.
type item struct {
	Entry

	// since is when the request was first known.
	since time.Time
	// waiting are called once the entry blocks.
	waiting map[*func()]struct{}
}

// keeps tells whether the request is kept from replicas at a time.
func (i *item) keeps(now time.Time) bool {
	return i.Quarantined() || i.Suspect && !i.Released && now.Sub(i.since) < suspectFor
}

// over tells whether an entry has stood for long enough.
func (i *item) over(now time.Time) bool {
	if i.Quarantined() {
		return now.Sub(i.since) > keepBlocking
	}
	return now.Sub(i.since) > keepOther
}
