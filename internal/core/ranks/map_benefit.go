package ranks

import (
	"time"

	"graniteknot.org/go/planner"
)

// comfortableShare is the share of the longest acceptable pause between events that a pass may
// take before the imbalance of the map matters to callers. The rest covers requests that arrive
// together, and first events, which take several passes.
const comfortableShare = 0.5

// mapMatters reports whether callers gain by a better balanced map: whether passes, under the
// imbalance of the given loads, are expected to take more than comfortableShare of the longest
// acceptable pause. Loading experts slows passes down and occupies links, so in a group whose
// passes are short anyway it costs callers more than it gains.
func (c *Coordinator) mapMatters(loads planner.Loads) bool {
	if c.MaxEventGap <= 0 || c.timing.passTime <= 0 {
		return true
	}
	expected := c.timing.expectedPass(c.Engine.Bare(), c.placement.TimeSkew(loads, c.paces))
	return expected > time.Duration(comfortableShare*float64(c.MaxEventGap))
}

// expectedPass returns the duration of a pass under a skew: what a pass takes beyond its fixed
// part grows in proportion to the skew.
func (t *switchTiming) expectedPass(fixed time.Duration, skew float64) time.Duration {
	work := t.passTime - fixed
	if work <= 0 || t.skew <= 0 {
		return t.passTime
	}
	return fixed + time.Duration(float64(work)*max(skew/t.skew, 1))
}
