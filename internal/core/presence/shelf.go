package presence

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// mostShelved is how many packs are kept for those that are taking them.
const mostShelved = 4

// PackCache keeps the last packs of a kind, so that who has begun to take one gets the rest of it
// though the records have changed since. The zero value is empty.
type PackCache struct {
	mu sync.Mutex
	// packs are kept, the newest last.
	packs []shelved
}

type shelved struct {
	digest uint64
	packed PackedRecords
}

// ServePart answers a question for a part. The first part is of what newest returns, each other one
// of the pack that the question names.
func (s *PackCache) ServePart(question []byte, newest func() (PackedRecords, error)) ([]byte, error) {
	offset, digest, err := wanted(question)
	if err != nil {
		return nil, err
	}
	if offset == 0 {
		packed, err := newest()
		if err != nil {
			return nil, err
		}
		return packed.part(0, s.put(packed))
	}
	one, ok := s.find(digest)
	if !ok {
		return nil, ErrMalformed
	}
	return one.packed.part(offset, one.digest)
}

// put keeps a pack and returns its digest.
func (s *PackCache) put(p PackedRecords) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.packs); n > 0 && len(p) > 0 && len(s.packs[n-1].packed) == len(p) && &s.packs[n-1].packed[0] == &p[0] {
		return s.packs[n-1].digest
	}
	one := shelved{xxhash.Sum64(p), p}
	s.packs = slices.DeleteFunc(s.packs, func(x shelved) bool { return x.digest == one.digest })
	s.packs = append(s.packs, one)
	if len(s.packs) > mostShelved {
		s.packs = slices.Delete(s.packs, 0, 1)
	}
	return one.digest
}

// find returns the pack of a digest. Processes of earlier builds name none, and get the newest.
func (s *PackCache) find(digest uint64) (shelved, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.packs) == 0 {
		return shelved{}, false
	}
	if digest == 0 {
		return s.packs[len(s.packs)-1], true
	}
	at := slices.IndexFunc(s.packs, func(x shelved) bool { return x.digest == digest })
	if at < 0 {
		return shelved{}, false
	}
	return s.packs[at], true
}

// question asks for the part at an offset of the pack with a digest.
func question(offset int, digest uint64) []byte {
	out := binary.AppendUvarint(nil, uint64(offset))
	if offset == 0 {
		return out
	}
	return binary.AppendUvarint(out, digest)
}

// wanted is the inverse of question; without a digest it is 0.
func wanted(question []byte) (offset, digest uint64, err error) {
	offset, n := binary.Uvarint(question)
	if n <= 0 {
		return 0, 0, ErrMalformed
	}
	if len(question) == n {
		return offset, 0, nil
	}
	digest, m := binary.Uvarint(question[n:])
	if m <= 0 {
		return 0, 0, ErrMalformed
	}
	return offset, digest, nil
}
