package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest is a sum of what is registered, the same for all who know the same
// replicas in the same states, whatever the order in which they learned of them.
type Digest uint64

// Digest returns the sum.
func (t *Table) Digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Digest
	for _, x := range t.targets {
		var hash xxhash.Digest
		hash.Reset()
		// Writes to a hash do not fail.
		_, _ = hash.WriteString(x.replica.Life().String())
		_, _ = hash.WriteString("\x00" + string(x.replica.Address) + "\x00")
		_, _ = hash.Write(binary.AppendUvarint(nil, boolean(x.replica.Draining)))
		out ^= Digest(hash.Sum64())
	}
	return out
}

func boolean(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
