package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of the registered replicas and their states. It doesn't
// depend on the order in which they were learned.
type Digest uint64

// Digest returns the hash of the table's replicas.
func (t *Table) Digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var digest Digest
	for _, x := range t.targets {
		var hash xxhash.Digest
		hash.Reset()
		// Writes to a hash never fail.
		_, _ = hash.WriteString(x.replica.Life().String())
		_, _ = hash.WriteString("\x00" + string(x.replica.Address) + "\x00")
		_, _ = hash.Write(binary.AppendUvarint(nil, boolToUint(x.replica.Draining)))
		digest ^= Digest(hash.Sum64())
	}
	return digest
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
