package quota

import "time"

// Rate is a number of requests a second.
type Rate float64

const (
	// share is the part of a rate that is dealt out: permits lapse some time after they were
	// dealt, so those of a little more than a window may be used within it.
	share Rate = 0.9
	// leastRate is dealt out however low a limit is: that it has gone shows only in answers.
	leastRate Rate = 0.2
	// validLeast and validSome are how long permits are valid: the least, and so much more as
	// makes some few requests at the rate. A process of many rarely has a request just then.
	// With two homes for 1.5 s and all permits saved up to the last moment, one and a half
	// times the rate and five requests more are not passed in any 4 s.
	validLeast = 900 * time.Millisecond
	validSome  = 4 * time.Second
	mostValid  = 10 * time.Second
	// leastAhead and mostAhead bound how far ahead permits are dealt out.
	leastAhead = 250 * time.Millisecond
	mostAhead  = time.Second
)

// every returns the time between two permits.
func (r Rate) every() time.Duration {
	return time.Duration(float64(time.Second) / float64(max(share*r, leastRate)))
}

// valid returns how long a permit is valid.
func (r Rate) valid() time.Duration {
	return min(validLeast+time.Duration(float64(validSome)/float64(max(r, leastRate))), mostValid)
}

// ahead returns how far ahead permits are dealt out: a few at a time, so that processes need
// not ask for each, and so few that hardly any lapse where demand moves.
func (r Rate) ahead() time.Duration { return min(max(r.every(), leastAhead), mostAhead) }
