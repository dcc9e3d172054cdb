package fleet

import "time"

const (
	// meanWeight and devWeight are the weights of a new value in the mean and of its
	// distance from it in the deviation, as in retransmission timers (RFC 6298).
	// devFactor deviations are added to the expected value; that is fewer than for
	// retransmission, since a slightly late response is worth half and not lost.
	meanWeight = 0.125
	devWeight  = 0.25
	devFactor  = 1
)

// latencyEstimate tracks the mean and deviation of a latency. The zero value has no
// samples.
type latencyEstimate struct {
	mean, dev time.Duration
}

// observe adds a sample.
func (e *latencyEstimate) observe(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.dev = d, d/4
		return
	}
	off := d - e.mean
	e.mean += time.Duration(meanWeight * float64(off))
	e.dev += time.Duration(devWeight * float64(off.Abs()-e.dev))
}

// expected returns a value that most samples don't exceed.
func (e *latencyEstimate) expected() time.Duration { return e.mean + devFactor*e.dev }
