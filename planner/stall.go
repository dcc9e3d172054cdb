package planner

import (
	"slices"

	graniteknot "graniteknot.org/go"
)

const (
	// stallFactor is how much slower than its load explains a rank has to be.
	stallFactor = 1.3
	// stallWindows is in how many windows in a row.
	stallWindows = 3
)

// StallDetector tells ranks that are slow for other reasons than their experts from
// those that are overloaded, so that experts are not moved in vain. The zero
// value works.
type StallDetector struct {
	// slow counts, for each rank, the windows in a row in which its load did
	// not explain its time.
	slow []int
}

// Observe takes in one window: each rank's own time for a step, without the
// wait for others, and its load. Times and loads may be in any unit.
func (s *StallDetector) Observe(times, loads []float64) {
	if len(s.slow) != len(times) {
		s.slow = make([]int, len(times))
	}
	ratios := make([]float64, 0, len(times))
	for r := range times {
		if loads[r] > 0 {
			ratios = append(ratios, times[r]/loads[r])
		}
	}
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	usual := ratios[len(ratios)/2]
	for r := range times {
		if times[r] > stallFactor*usual*loads[r] {
			s.slow[r]++
		} else {
			s.slow[r] = 0
		}
	}
}

// Stalled returns the ranks whose slowness moving experts would not mend.
func (s *StallDetector) Stalled() []graniteknot.Rank {
	var out []graniteknot.Rank
	for r, n := range s.slow {
		if n >= stallWindows {
			out = append(out, graniteknot.Rank(r))
		}
	}
	return out
}
