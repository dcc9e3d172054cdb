package presence

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxPacks is how many record sets are kept for fetches that are under way.
const maxPacks = 4

// PackCache keeps the last sets of packed records of a kind, so that a fetch that has begun
// gets all parts of one set although the records have changed since. The zero value is empty.
type PackCache struct {
	mu sync.Mutex
	// packs are ordered from oldest to newest.
	packs []pack
}

// pack is a record set and its digest.
type pack struct {
	digest  uint64
	records PackedRecords
}

// ServePart returns the reply to a query for a part. The first part is of the set that newest
// returns, every other part of the set whose digest the query names.
func (c *PackCache) ServePart(query []byte, newest func() (PackedRecords, error)) ([]byte, error) {
	offset, digest, err := decodePartQuery(query)
	if err != nil {
		return nil, err
	}
	if offset == 0 {
		packed, err := newest()
		if err != nil {
			return nil, err
		}
		return packed.encodePart(0, c.put(packed))
	}
	found, ok := c.find(digest)
	if !ok {
		return nil, ErrMalformed
	}
	return found.records.encodePart(offset, found.digest)
}

// put adds a set and returns its digest.
func (c *PackCache) put(p PackedRecords) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.packs); n > 0 && len(p) > 0 && len(c.packs[n-1].records) == len(p) && &c.packs[n-1].records[0] == &p[0] {
		return c.packs[n-1].digest
	}
	added := pack{xxhash.Sum64(p), p}
	c.packs = slices.DeleteFunc(c.packs, func(x pack) bool { return x.digest == added.digest })
	c.packs = append(c.packs, added)
	if len(c.packs) > maxPacks {
		c.packs = slices.Delete(c.packs, 0, 1)
	}
	return added.digest
}

// find returns the set with a digest. Processes of earlier builds name no digest and get the
// newest set.
func (c *PackCache) find(digest uint64) (pack, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.packs) == 0 {
		return pack{}, false
	}
	if digest == 0 {
		return c.packs[len(c.packs)-1], true
	}
	at := slices.IndexFunc(c.packs, func(x pack) bool { return x.digest == digest })
	if at < 0 {
		return pack{}, false
	}
	return c.packs[at], true
}

// encodePartQuery returns the query for the part at an offset of the set with a digest.
func encodePartQuery(offset int, digest uint64) []byte {
	out := binary.AppendUvarint(nil, uint64(offset))
	if offset == 0 {
		return out
	}
	return binary.AppendUvarint(out, digest)
}

// decodePartQuery is the inverse of encodePartQuery; a missing digest is 0.
func decodePartQuery(query []byte) (offset, digest uint64, err error) {
	offset, n := binary.Uvarint(query)
	if n <= 0 {
		return 0, 0, ErrMalformed
	}
	if len(query) == n {
		return offset, 0, nil
	}
	digest, m := binary.Uvarint(query[n:])
	if m <= 0 {
		return 0, 0, ErrMalformed
	}
	return offset, digest, nil
}
