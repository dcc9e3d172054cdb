package ranks

import (
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/coarse"
	"graniteknot.org/go/internal/wire"
)

// maxCountSamples is how many samples a sidecar remembers: the last one the coordinator
// received and those whose replies may have been lost since.
const maxCountSamples = 4

// countHistory remembers a rank's counts at the coordinator's last reads, so that replies
// hold the growth since an earlier read. Most increments fit in one byte, and sums that
// lack ranks remain comparable. The zero value is ready to use.
type countHistory struct {
	mu      sync.Mutex
	fence   graniteknot.Position
	samples []countSample
}

type countSample struct {
	round  uint64
	counts []uint64
}

// record stores the counts of a round and returns their growth since an earlier round, if
// that is remembered.
func (h *countHistory) record(fence graniteknot.Position, round, since uint64, counts []uint64) *wire.SumReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence != h.fence {
		h.fence, h.samples = fence, nil
	}
	out := &wire.SumReply{Sampled: 1}
	for _, old := range h.samples {
		if old.round == since {
			out.Counts, out.Ranks = countGrowth(old.counts, counts)
		}
	}
	h.samples = append(h.samples, countSample{round, counts})
	if len(h.samples) > maxCountSamples {
		h.samples = h.samples[1:]
	}
	return out
}

// countGrowth returns the increments and the number of ranks they are from: 0 if a count
// fell, as after a restart of the rank.
func countGrowth(from, to []uint64) ([]byte, int32) {
	if len(from) != len(to) {
		return nil, 0
	}
	out := make([]uint64, len(to))
	for i := range to {
		if to[i] < from[i] {
			return nil, 0
		}
		out[i] = to[i] - from[i]
	}
	return coarse.Bytes(out), 1
}
