package fleet

import (
	"math"
	"time"
)

// burstWindow is the default averaging window: a few reports, so that a burst shows,
// and many requests.
const burstWindow = 500 * time.Millisecond

// decayingRate is an event rate with exponentially decaying weights. The zero value
// has seen no events.
type decayingRate struct {
	// window is the averaging window; 0 means burstWindow.
	window  time.Duration
	count   float64
	updated time.Time
}

// add counts one event.
func (r *decayingRate) add(now time.Time) {
	r.count, r.updated = r.decayed(now)+1, now
}

// perSecond returns the rate.
func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.decayed(now) / r.effectiveWindow().Seconds()
}

func (r *decayingRate) decayed(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.count * math.Exp(-now.Sub(r.updated).Seconds()/r.effectiveWindow().Seconds())
}

func (r *decayingRate) effectiveWindow() time.Duration {
	if r.window > 0 {
		return r.window
	}
	return burstWindow
}
