package ranks

import (
	"math"
	"time"

	"graniteknot.org/go/planner"
)

const (
	// steadyMargin is the targetMargin of plans from counts of at least steadyMarginSpan.
	steadyMargin     = 0.05
	steadyMarginSpan = steadyLength / 2
	// settlingTime is how long after a load shift a map is also planned when only the newest
	// counts call for it. The counts since the shift are then mostly those that the map in force
	// was planned from, which makes it look better than it is.
	settlingTime = 1500 * time.Millisecond
	// shiftSkewRatio is the multiple of the steady skew from which the skew of the newest counts
	// shows a load shift before its counts are enough to detect it. With few streams the multiple
	// is up to 1.12 by chance.
	shiftSkewRatio = 1.15
	// steadySwitchGain is the share of minSwitchGain that a plan from steady counts has to gain.
	// A part of what plans from the newest counts gain is noise.
	steadySwitchGain = 0.7
)

// planBasis is what a plan is made from.
type planBasis struct {
	loads planner.Loads
	// span is the time that the loads cover.
	span time.Duration
	// switchGain is the gain that a switch needs, as a share of minSwitchGain.
	switchGain float64
}

// basis returns what a better balanced map has to be planned from; false when callers need
// none: when passes, under the imbalance of the loads, take little of the longest acceptable
// pause, now and once all slots are in use. Demand may double within a second, which is less
// than a switch takes, so a group that is lightly loaded needs its map before the burst.
// Loading experts slows passes down and occupies links, so in a group whose passes stay short
// it costs callers more than it gains.
//
// Passes that are long now are those of the streams that run, so their map follows the newest
// counts. A burst brings other streams, so a map for it follows the counts since the last load
// shift.
func (c *Coordinator) basis() (planBasis, bool) {
	loads, ok := c.recentLoads()
	if !ok {
		return planBasis{}, false
	}
	recent := planBasis{loads: loads, span: rollingLength, switchGain: 1}
	if c.MaxEventGap <= 0 || c.timing.passTime <= 0 {
		return recent, true
	}
	skew := c.placement.TimeSkew(loads, c.paces)
	if float64(c.timing.expectedPass(c.Engine.Bare(), skew)) > comfortableShare*float64(c.MaxEventGap) {
		return recent, true
	}
	loads, span, ok := c.steadyLoads()
	if !ok {
		return planBasis{}, false
	}
	steadySkew := c.placement.TimeSkew(loads, c.paces)
	if skew > shiftSkewRatio*steadySkew {
		return recent, c.tooSlowWhenFull(skew)
	}
	steady := planBasis{loads: loads, span: span, switchGain: 1}
	if c.window.Rolling {
		steady.switchGain = steadySwitchGain
	}
	return steady, c.tooSlowWhenFull(steadySkew) || span < settlingTime && c.tooSlowWhenFull(skew)
}

// tooSlowWhenFull reports whether passes under a skew would take too much of the longest
// acceptable pause with all slots in use.
func (c *Coordinator) tooSlowWhenFull(skew float64) bool {
	return float64(fullPass(c.Engine, skew)) > fullShare*float64(c.MaxEventGap)
}

// targetSkew returns the skew that a plan from counts of the given duration aims at; 0 is none.
func (c *Coordinator) targetSkew(span time.Duration) float64 {
	return c.neededSkew() / (1 + targetMargin(span))
}

// targetMargin returns how far below the needed skew a plan from counts of the given duration
// aims, as a share of it. Without it, a map would exceed the bound again with the next counts,
// since a plan also fits the noise of the counts that it is made from. That noise falls with
// the square root of the duration. The first plans after a load shift are made from 200 ms, so
// they aim as low as they can.
func targetMargin(span time.Duration) float64 {
	if span <= 0 {
		return math.Inf(1)
	}
	return steadyMargin * max(1, math.Sqrt(float64(steadyMarginSpan)/float64(span)))
}
