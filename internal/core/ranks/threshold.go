package ranks

import (
	"time"

	"graniteknot.org/go/catalog"
)

// The thresholds are what one loaded expert has to gain in skew, summed over the sets, to
// be worth loading. Skew matters to callers only when the pass time approaches the longest
// acceptable pause between events, so little is moved while passes are short. For two
// groups of 12 ranks, thresholds of 0.06, 0.10 and 0.16 scored 0.870, 0.881, 0.889 and
// 0.910, 0.924, 0.936 at low load, and 0.626, 0.687, 0.637 and 0.731, 0.739, 0.663 at full
// load.
const (
	idleThreshold = 0.16
	busyThreshold = 0.09
	// idlePassFraction and busyPassFraction are the ratios of pass time to that pause below
	// and above which the thresholds apply; between them the threshold is interpolated.
	idlePassFraction = 0.35
	busyPassFraction = 0.60
)

// minSwitchGain is the gain in the skew of each set, beyond the cost of moves, that makes a
// map worth a switch. A switch takes part of a second, in which no other can start, and
// delays some passes. In large groups the moves alone would justify a switch at next to no
// gain.
const minSwitchGain = 0.06

// The group that the thresholds were chosen for.
const (
	referenceExpertSize = 2_200_000_000
	referenceRanks      = 12
	referenceSets       = 4
)

// relativeCost returns the cost of loading an expert relative to that of skew, as a
// multiple of the reference group's. Loading costs by the expert's size, skew by the
// requests of all ranks, and each set accounts for its share of a pass.
func relativeCost(e *catalog.Experts, ranks int) float64 {
	if e.Size <= 0 {
		return 1
	}
	return float64(e.Size) / referenceExpertSize * referenceRanks / float64(ranks) * float64(e.Sets) / referenceSets
}

// threshold returns the gain that one loaded expert needs at the given pass time.
func threshold(pass, gap time.Duration) float64 {
	if pass <= 0 || gap <= 0 {
		return busyThreshold
	}
	ratio := float64(pass) / float64(gap)
	weight := min(max((ratio-idlePassFraction)/(busyPassFraction-idlePassFraction), 0), 1)
	return idleThreshold + weight*(busyThreshold-idleThreshold)
}
