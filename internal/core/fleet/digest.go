package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"graniteknot.org/go/catalog"
)

// Digest is a hash of the registered replicas and their states. It doesn't
// depend on the order in which they were learned.
type Digest uint64

// Digest returns the hash of the table's replicas.
func (t *Table) Digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// rehash brings the table's digest in line with a target's record. The caller holds the lock.
func (t *Table) rehash(x *target) {
	t.digest ^= x.hash
	x.hash = hashOf(&x.replica)
	t.digest ^= x.hash
}

// hashOf returns a replica's part of the digest.
func hashOf(r *catalog.Replica) Digest {
	var hash xxhash.Digest
	hash.Reset()
	// Writes to a hash never fail.
	_, _ = hash.WriteString(r.Life().String())
	_, _ = hash.WriteString("\x00" + string(r.Address) + "\x00")
	_, _ = hash.Write(binary.AppendUvarint(nil, boolToUint(r.Draining)))
	return Digest(hash.Sum64())
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
