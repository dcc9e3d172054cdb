package ranks

import (
	"time"

	"graniteknot.org/go/catalog"
)

// What one loaded expert has to gain in skew, summed over the sets, to be worth
// loading. Skew only costs callers something when passes come near the longest
// useful pause between events, so little is moved while they are short. On days
// of two groups of 12 ranks, thresholds of 0.06, 0.10 and 0.16 were worth 0.870, 0.881, 0.889
// and 0.910, 0.924, 0.936 when quiet, and 0.626, 0.687, 0.637 and 0.731, 0.739,
// 0.663 at full load.
const (
	idleThreshold = 0.16
	busyThreshold = 0.09
	// idlePassFraction and busyShare are the parts of the pause that passes take below
	// and above which the thresholds are these; between them it is in between.
	idlePassFraction = 0.35
	busyPassFraction = 0.60
)

// minSwitchGain is what a map has to gain in the skew of each set, beyond its moves,
// to be worth a switch: one takes part of a second in which nothing else can be
// switched to, and some passes wait for it. In large groups the moves alone would make
// a switch worth it at next to no gain.
const minSwitchGain = 0.06

// The group that the thresholds stand for.
const (
	referenceExpertSize = 2_200_000_000
	referenceRanks      = 12
	referenceSets       = 4
)

// relativeCost is what loading an expert costs against what skew costs, compared
// with the group that the thresholds stand for: loading costs by its
// bytes, skew by the requests of all ranks, and each set has its part of a pass.
func relativeCost(e *catalog.Experts, ranks int) float64 {
	if e.Size <= 0 {
		return 1
	}
	return float64(e.Size) / referenceExpertSize * referenceRanks / float64(ranks) * float64(e.Sets) / referenceSets
}

// threshold returns what one loaded expert has to gain, for how long passes take.
func threshold(pass, gap time.Duration) float64 {
	if pass <= 0 || gap <= 0 {
		return busyThreshold
	}
	share := float64(pass) / float64(gap)
	at := min(max((share-idlePassFraction)/(busyPassFraction-idlePassFraction), 0), 1)
	return idleThreshold + at*(busyThreshold-idleThreshold)
}
