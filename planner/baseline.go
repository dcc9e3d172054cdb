package planner

import (
	"math"
	"slices"

	graniteknot "graniteknot.org/go"
)

// FullReplan places everything anew for the loads: spare slots go one by one
// to the expert with the largest share, then the replicas are packed, largest
// first, onto the rank with the smallest load that has room.
func FullReplan(s Shape, loads Loads) *Placement {
	p := NewPlacement(s)
	for l := range s.Layers {
		packLayer(s, p.layer(l), loads[l])
	}
	return p
}

// replica is one copy of an expert to be packed.
type replica struct {
	expert graniteknot.Expert
	share  float64
}

func packLayer(s Shape, slots []graniteknot.Expert, load LayerLoad) {
	list := replicate(s, load)
	fill := make([]int, s.Ranks)
	rank := make([]float64, s.Ranks)
	for i := range slots {
		slots[i] = -1
	}
	for _, r := range list {
		best := roomiest(s, slots, fill, rank, r.expert)
		if best < 0 {
			continue
		}
		slots[best*s.Slots+fill[best]] = r.expert
		fill[best]++
		rank[best] += r.share
	}
	fillGaps(s, slots)
}

// replicate returns the copies of each expert, the largest share first.
func replicate(s Shape, load LayerLoad) []replica {
	copies := make([]int, s.Experts)
	for e := range copies {
		copies[e] = 1
	}
	for range s.Ranks*s.Slots - s.Experts {
		best := 0
		for e := range copies {
			if copies[e] < s.Ranks && load[e]/float64(copies[e]) > load[best]/float64(copies[best]) {
				best = e
			}
		}
		copies[best]++
	}
	var out []replica
	for e, n := range copies {
		for range n {
			out = append(out, replica{expert: graniteknot.Expert(e), share: load[e] / float64(n)})
		}
	}
	slices.SortStableFunc(out, func(a, b replica) int {
		switch {
		case a.share > b.share:
			return -1
		case a.share < b.share:
			return 1
		}
		return 0
	})
	return out
}

// roomiest returns the rank with the smallest load that can take an expert; -1
// when none can.
func roomiest(s Shape, slots []graniteknot.Expert, fill []int, rank []float64, e graniteknot.Expert) int {
	best := -1
	for r := range rank {
		if fill[r] == s.Slots || contains(slots[r*s.Slots:r*s.Slots+fill[r]], e) {
			continue
		}
		if best < 0 || rank[r] < rank[best] {
			best = r
		}
	}
	return best
}

// fillGaps gives slots that the packing left empty to any expert that the rank
// does not hold yet.
func fillGaps(s Shape, slots []graniteknot.Expert) {
	for i, e := range slots {
		if e >= 0 {
			continue
		}
		on := slots[i/s.Slots*s.Slots : (i/s.Slots+1)*s.Slots]
		for f := range graniteknot.Expert(s.Experts) {
			if !contains(on, f) {
				slots[i] = f
				break
			}
		}
	}
}

// LowerBound returns a skew that no placement can go below: in each layer the
// largest rank load is at least the mean, and at least the smallest share that
// the hottest experts' replicas can reach within all slots.
func LowerBound(s Shape, loads Loads) float64 {
	var most, mean float64
	for _, load := range loads {
		m := load.mean(s.Ranks)
		mean += m
		most += max(m, smallestShare(s, load))
	}
	if mean == 0 {
		return 1
	}
	return most / mean
}

// smallestShare finds the smallest t for which replicas with shares of at most
// t fit into all slots.
func smallestShare(s Shape, load LayerLoad) float64 {
	const rounds = 40
	low, high := 0.0, slices.Max(load)
	for range rounds {
		t := (low + high) / 2
		need := 0
		for _, v := range load {
			need += int(math.Max(1, math.Ceil(v/t)))
		}
		if need <= s.Ranks*s.Slots {
			high = t
		} else {
			low = t
		}
	}
	return high
}
