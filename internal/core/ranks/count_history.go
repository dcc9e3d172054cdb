package ranks

import (
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/coarse"
	"graniteknot.org/go/internal/wire"
)

// maxCountSamples is how many answers to a keeper's questions for counts a sidecar
// remembers: the last one that the keeper got and those that it may have lost since.
const maxCountSamples = 4

// countHistory remembers a rank's counts at a keeper's last questions, so that a sidecar
// tells how much they have grown since one of them: most of these numbers take one
// byte, and sums of fewer ranks remain comparable. The zero value is empty.
type countHistory struct {
	mu      sync.Mutex
	fence   graniteknot.Position
	samples []countSample
}

type countSample struct {
	round  uint64
	counts []uint64
}

// add remembers the counts at a question and returns how much they have grown since
// an earlier one, if that is remembered.
func (s *countHistory) add(fence graniteknot.Position, round, since uint64, counts []uint64) *wire.SumReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence != s.fence {
		s.fence, s.samples = fence, nil
	}
	out := &wire.SumReply{Sampled: 1}
	for _, old := range s.samples {
		if old.round == since {
			out.Counts, out.Ranks = countGrowth(old.counts, counts)
		}
	}
	s.samples = append(s.samples, countSample{round, counts})
	if len(s.samples) > maxCountSamples {
		s.samples = s.samples[1:]
	}
	return out
}

// countGrowth returns how much counts have grown, of one rank; of none if they fell, as
// when the rank has started anew.
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
