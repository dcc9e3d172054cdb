package fairshare

import (
	"math"
	"slices"
	"sort"
)

// Unlimited is the share of an account without competitors.
var Unlimited = math.Inf(1)

// headroomPerDemand is the headroom for each request of the other accounts. Half of their
// demand covers their growth until totals that are up to a second old show it.
const headroomPerDemand = 0.5

// Demand is the number of requests, running and queued, of the accounts that compete.
type Demand struct {
	// Listed are those of the accounts with the most requests, in any order.
	Listed []int
	// Unlisted is the sum of those of all other accounts. Each of these has at most as many as
	// the least listed one.
	Unlisted int
	// Headroom is the largest share of the capacity that an account must leave free for the
	// growth of the others. It is less if their demand is small.
	Headroom float64
}

// Shares are the max-min shares of accounts. The zero value limits none.
type Shares struct {
	// demands are in ascending order; sums[i] is the sum of the first i.
	demands, sums []float64
	capacity      float64
	maxHeadroom   float64
}

// Shares returns the shares of a capacity; those that limit none if it is not known (0 or less).
func (d Demand) Shares(capacity float64) Shares {
	if capacity <= 0 {
		return Shares{}
	}
	s := Shares{demands: d.ascending(), capacity: capacity, maxHeadroom: d.Headroom * capacity}
	s.sums = make([]float64, len(s.demands)+1)
	for i, x := range s.demands {
		s.sums[i+1] = s.sums[i] + x
	}
	return s
}

// ascending returns the accounts' demands in ascending order. The unlisted ones are taken to be
// as few and as equal as the least listed one allows, since their number is not known.
func (d Demand) ascending() []float64 {
	out := make([]float64, 0, 2*len(d.Listed))
	for _, x := range d.Listed {
		if x > 0 {
			out = append(out, float64(x))
		}
	}
	if len(out) == 0 {
		return nil
	}
	if d.Unlisted > 0 {
		n := math.Ceil(float64(d.Unlisted) / slices.Min(out))
		for range int(n) {
			out = append(out, float64(d.Unlisted)/n)
		}
	}
	slices.Sort(out)
	return out
}

// Of returns the share of an account of a demand that the shares were computed with, or of a new
// account if the demand is 0: what it gets if it asks for all, and the demand of the others is
// as it is. An account that asks for less than its share gets what it asks for.
func (s Shares) Of(demand int) float64 {
	n := len(s.demands)
	// own is the index of the account's demand, n if it is not among the demands.
	own, found := slices.BinarySearch(s.demands, float64(demand))
	if found {
		n--
	} else {
		own = n
	}
	if n == 0 {
		return Unlimited
	}
	// sum returns the sum of the least demands of the others, other the one that follows.
	sum := func(i int) float64 {
		if i <= own {
			return s.sums[i]
		}
		return s.sums[i+1] - s.demands[own]
	}
	other := func(i int) float64 {
		if i < own {
			return s.demands[i]
		}
		return s.demands[i+1]
	}
	capacity := s.capacity - min(s.maxHeadroom, headroomPerDemand*sum(n))
	level := func(met int) float64 { return (capacity - sum(met)) / float64(n+1-met) }
	return level(sort.Search(n, func(i int) bool { return other(i) >= level(i) }))
}

// Excess returns by how much an account's running requests exceed its share, relative to the
// share; 0 if they do not. The next request of the account with the least excess goes first.
func Excess(running int, share float64) float64 {
	return max(0, float64(running)/share-1)
}
