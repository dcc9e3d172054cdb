package ranks

import (
	"math"
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// comfortableShare is the share of the longest acceptable pause between events that a pass may
	// take before the imbalance of the map matters to callers. The rest covers requests that
	// arrive together, and first events, which take several passes.
	comfortableShare = 0.5
	// fullShare is the same for passes with all slots in use, whose duration is already that of
	// the most requests at once. The rest covers passes that read many prompts: events stay in
	// time while a pass takes a third more than expected.
	fullShare = 0.75
)

// neededSkew returns the largest skew under which passes stay within their shares of the
// longest acceptable pause; 0 is unknown, or that no skew suffices.
func (c *Coordinator) neededSkew() float64 {
	if c.MaxEventGap <= 0 || c.timing.passTime <= 0 {
		return 0
	}
	gap := float64(c.MaxEventGap)
	return max(0, min(c.timing.skewAtPass(c.Engine.Bare(), time.Duration(comfortableShare*gap)), skewAtFullPass(c.Engine, time.Duration(fullShare*gap))))
}

// skewAtFullPass returns the skew under which a pass with all slots in use takes a duration,
// the inverse of fullPass.
func skewAtFullPass(e *catalog.Engine, d time.Duration) float64 {
	even := fullPass(e, 1)
	growth := fullPass(e, 2) - even
	if growth <= 0 {
		return unlimitedIf(even <= d)
	}
	return 1 + float64(d-even)/float64(growth)
}

// skewAtPass returns the skew under which a pass takes a duration, the inverse of
// expectedPass.
func (t *switchTiming) skewAtPass(fixed, d time.Duration) float64 {
	work := t.passTime - fixed
	if work <= 0 || t.skew <= 0 {
		return unlimitedIf(t.passTime <= d)
	}
	return t.skew * float64(d-fixed) / float64(work)
}

// unlimitedIf returns the skew that suffices where passes don't depend on it.
func unlimitedIf(sufficient bool) float64 {
	if sufficient {
		return math.Inf(1)
	}
	return 0
}

// fullPass returns the duration of a pass under a skew with all slots in use, from the engine's
// stated figures.
func fullPass(e *catalog.Engine, skew float64) time.Duration {
	perRequest := e.Writing() + e.Reading(e.Usual.Prompt)/time.Duration(e.Passes())
	factor := 1 - e.Experts.Fraction + e.Experts.Fraction*max(skew, 1)
	return e.Bare() + time.Duration(float64(e.Slots)*float64(perRequest)*factor)
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
