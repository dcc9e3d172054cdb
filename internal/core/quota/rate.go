package quota

import "time"

// Rate is a number of requests a second.
type Rate float64

const (
	// allocatedShare is the part of a rate that is granted: a permit stays valid for some time,
	// so permits granted over slightly more than a window may be used within it.
	allocatedShare Rate = 0.9
	// minRate is granted however low a limit is, since only the answer to a request can show
	// that the limit has ended.
	minRate Rate = 0.2
	// minValidity and extraValidity make up how long a permit is valid: the minimum, plus
	// extraValidity divided by the rate, the time of a few requests. One process of many rarely
	// has a request just when a permit starts. With two owners for 1.5 s and all permits used at
	// the last moment, no 4 s see more than one and a half times the rate and five requests more.
	minValidity   = 900 * time.Millisecond
	extraValidity = 4 * time.Second
	maxValidity   = 10 * time.Second
	// minLookahead and maxLookahead bound how far ahead permits are granted.
	minLookahead = 250 * time.Millisecond
	maxLookahead = time.Second
)

// interval returns the time between the starts of two permits.
func (r Rate) interval() time.Duration {
	return time.Duration(float64(time.Second) / float64(max(allocatedShare*r, minRate)))
}

// validity returns how long a permit is valid.
func (r Rate) validity() time.Duration {
	return min(minValidity+time.Duration(float64(extraValidity)/float64(max(r, minRate))), maxValidity)
}

// lookahead returns how far ahead permits are granted: a few at a time, so that processes need
// not ask for each, and so few that hardly any expire where demand moves.
func (r Rate) lookahead() time.Duration { return min(max(r.interval(), minLookahead), maxLookahead) }
