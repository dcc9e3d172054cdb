package fleet

import (
	"math"
	"time"
)

// rateSpan is how far back arrivals count for their rate: a few reports, so that
// a burst is seen, and many requests.
const rateSpan = 500 * time.Millisecond

// rate is how many events come in a second, with the older ones fading. The zero
// value has seen none.
type rate struct {
	// span is how far back events count; 0 is rateSpan.
	span time.Duration
	sum  float64
	at   time.Time
}

// note takes in one event.
func (r *rate) note(now time.Time) {
	r.sum, r.at = r.faded(now)+1, now
}

// perSecond returns the rate.
func (r *rate) perSecond(now time.Time) float64 { return r.faded(now) / r.length().Seconds() }

func (r *rate) faded(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/r.length().Seconds())
}

func (r *rate) length() time.Duration {
	if r.span > 0 {
		return r.span
	}
	return rateSpan
}
