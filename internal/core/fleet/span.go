package fleet

import "time"

const (
	// spanWeight is the weight of a new value, devWeight that of its distance from
	// the mean, and devTimes how many such distances are added to what is expected:
	// the customary figures of retransmission timers, but for the last, since a
	// request that is a little late is worth half and not lost.
	spanWeight = 0.125
	devWeight  = 0.25
	devTimes   = 1
)

// span is a time that varies. The zero value knows nothing.
type span struct {
	mean, dev time.Duration
}

// note takes in a value.
func (s *span) note(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.dev = d, d/4
		return
	}
	off := d - s.mean
	s.mean += time.Duration(spanWeight * float64(off))
	s.dev += time.Duration(devWeight * float64(off.Abs()-s.dev))
}

// expected is a value that most do not exceed.
func (s *span) expected() time.Duration { return s.mean + devTimes*s.dev }
