package engine

import "github.com/cespare/xxhash/v2"

// blockSize is how many prompt bytes one cached block covers.
const blockSize = 256

// reported bounds the prefixes in a load report.
const reported = 64

// prefixCache is a bounded set of prompt prefixes; the oldest go first.
type prefixCache struct {
	blocks map[uint64]struct{}
	order  []uint64
}

// hit returns how many bytes of the prompt are cached.
func (c *prefixCache) hit(prompt []byte) int {
	cached := 0
	for n := blockSize; n <= len(prompt); n += blockSize {
		if _, ok := c.blocks[xxhash.Sum64(prompt[:n])]; !ok {
			break
		}
		cached = n
	}
	return cached
}

func (c *prefixCache) add(prompt []byte, limit int) {
	if c.blocks == nil {
		c.blocks = map[uint64]struct{}{}
	}
	for n := blockSize; n <= len(prompt); n += blockSize {
		h := xxhash.Sum64(prompt[:n])
		if _, ok := c.blocks[h]; ok {
			continue
		}
		c.blocks[h] = struct{}{}
		c.order = append(c.order, h)
	}
	for len(c.order) > limit {
		delete(c.blocks, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *prefixCache) newest() []uint64 {
	var out []uint64
	for i := len(c.order) - 1; i >= 0 && len(out) < reported; i-- {
		out = append(out, c.order[i])
	}
	return out
}
