package sidecar

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// passSpan is how far back passes are counted for their mean time: a few of
// them, since prompts that are read make single ones longer.
const passSpan = 360 * time.Millisecond

// passClock tells how long passes take, from looks at the last one begun. The
// zero value knows nothing.
type passClock struct {
	// looks are the newest last; the first is the newest that is passSpan old.
	looks []passLook
}

type passLook struct {
	step graniteknot.Step
	at   time.Time
}

// see takes in a look and returns the mean time of a pass; 0 when that can't be
// told, as in an idle group. While a group that has work begins no pass, as when a
// rank is cut off, the passes before tell how long those after will take.
func (c *passClock) see(step graniteknot.Step, working bool, now time.Time) time.Duration {
	if n := len(c.looks); n > 0 && step < c.looks[n-1].step {
		// The rank has started anew.
		c.looks = nil
	}
	if n := len(c.looks); n > 0 && step == c.looks[n-1].step && working {
		return c.mean()
	}
	c.looks = append(c.looks, passLook{step, now})
	for len(c.looks) > 2 && now.Sub(c.looks[1].at) >= passSpan {
		c.looks = c.looks[1:]
	}
	return c.mean()
}

// mean is the mean time of the passes between the looks.
func (c *passClock) mean() time.Duration {
	first, last := c.looks[0], c.looks[len(c.looks)-1]
	if last.step <= first.step {
		return 0
	}
	return last.at.Sub(first.at) / time.Duration(last.step-first.step)
}
