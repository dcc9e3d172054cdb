package returns

import "time"

const (
	// Bucket is the resolution of the schedule.
	Bucket = 250 * time.Millisecond
	// Horizon is the latest time that is told. Callers wait for 8 s in all.
	Horizon = 8 * time.Second
	// Buckets is how many buckets the horizon has, with the current one of which a part has passed.
	Buckets = int(Horizon/Bucket) + 1
	// MinDelay is the earliest time that is told; a shorter wait is not worth a refusal.
	MinDelay = 50 * time.Millisecond
	// mostReserved is the share of the throughput that may be promised although newcomers are
	// expected to need all of it; the newcomers that give way find room soon after. It has to exceed
	// what is refused, 0.05 of the throughput in a burst of 2.2 times of the least urgent kind, since
	// each refusal takes a random place.
	mostReserved = 0.15
	// leastReserved is that share where newcomers exceed the throughput by a third or more: in a
	// lasting overload each promised return takes the place of a newcomer in time. reservedSlope is
	// by how much the share falls for each unit of excess: from mostReserved to leastReserved over
	// a third.
	leastReserved, reservedSlope = 0.01, 0.45
	// minShare bounds the assumed number of gateways that refuse at the same time.
	minShare = 1.0 / 2048
	// levelSteps is how often the water level is halved in; it is then exact to a millionth.
	levelSteps = 40
)

// Schedule is the capacity and the demand of a service over all gateways, by which the time to tell
// a refused caller is chosen.
type Schedule struct {
	// Throughput is how many requests a second are served.
	Throughput float64
	// Arrivals is how many requests of the same or more urgency arrive in a second, returns
	// included. Queued is how many of them wait.
	Arrivals float64
	Queued   int
	// Share is this gateway's share of the demand.
	Share float64
	// Bookings are the promised returns.
	Bookings *Bookings
}

// Choice is the time that a refused caller is told.
type Choice struct {
	// Delay is after what time it is told to return.
	Delay time.Duration
	// Room reports whether the service is expected to have room for it then.
	Room bool
}

// Choose returns what a refused caller is told, with a delay of at most limit; false if no time can
// be told. random returns numbers from 0 to 1.
//
// The earliest whole bucket with room is chosen, or else the earliest with reserved room, or else a
// least loaded one. Other gateways choose at the
// same time and do not know of each other's latest promises. So this one assumes that they refuse
// in proportion to their shares, and takes a random place among all.
func (s *Schedule) Choose(limit time.Duration, random func() float64) (Choice, bool) {
	limit = min(limit, Horizon)
	if limit < MinDelay || s.Throughput <= 0 {
		return Choice{}, false
	}
	free, queued := s.free()
	usable := free[1:max(1, (limit+s.Bookings.Elapsed)/Bucket)]
	if len(usable) == 0 {
		return Choice{Delay: (MinDelay + time.Duration(random()*float64(limit-MinDelay))).Truncate(time.Millisecond)}, true
	}
	share := min(max(s.Share, minShare), 1)
	unheard := max(0, float64(s.Bookings.OwnRecent)/share-float64(s.Bookings.OwnRecent+s.Bookings.OthersRecent))
	bucket := earliestWithRoom(usable, queued, unheard+random()/share)
	if bucket < 0 {
		bucket = earliestWithRoom(s.reserved()[1:len(usable)+1], 0, s.reservedPlace(random(), share, unheard))
	}
	room := bucket >= 0
	if !room {
		bucket = leastLoaded(usable, unheard+1/share, random())
	}
	from := time.Duration(bucket+1)*Bucket - s.Bookings.Elapsed
	to := from + Bucket
	from = max(from, MinDelay)
	return Choice{(from + time.Duration(random()*float64(to-from))).Truncate(time.Millisecond), room}, true
}

// free returns how many more requests could be served in each bucket if none were queued, which is
// negative if there are more than can be served, and how many are queued after the current one.
func (s *Schedule) free() (free []float64, queued float64) {
	perBucket := s.leftPerBucket()
	free = make([]float64, Buckets)
	for i, due := range s.Bookings.Due {
		free[i] = perBucket - float64(due)
	}
	left := 1 - s.Bookings.Elapsed.Seconds()/Bucket.Seconds()
	return free, max(0, float64(s.Queued)+float64(s.Bookings.Due[0])-left*perBucket)
}

// reserved returns how many more callers may be promised room in each bucket beyond that which
// newcomers are expected to leave. Both together are no more than the reserved share if newcomers leave
// less.
func (s *Schedule) reserved() []float64 {
	excess := max(0, (s.Arrivals-s.Bookings.Returning)/s.Throughput-1)
	share := max(leastReserved, mostReserved-reservedSlope*excess)
	left := max(0, s.leftPerBucket())
	more := max(0, share*s.Throughput*Bucket.Seconds()-left)
	out := make([]float64, Buckets)
	for i, promised := range s.Bookings.Promised {
		out[i] = more - max(0, float64(promised)-left)
	}
	return out
}

// leftPerBucket returns how many requests newcomers leave room for in a bucket, which is negative if
// they are more than can be served.
func (s *Schedule) leftPerBucket() float64 {
	return (s.Throughput - max(0, s.Arrivals-s.Bookings.Returning)) * Bucket.Seconds()
}

// reservedPlace returns a random place among those that compete for the reserved room: as many as
// are refused until all gateways know of it, by the refusals known or by this gateway's own. If none
// of others are known, all gateways are assumed to refuse one now.
func (s *Schedule) reservedPlace(random, share, unheard float64) float64 {
	b := s.Bookings
	if b.Refusals <= 0 && b.OthersRecent == 0 {
		return unheard + random/share
	}
	known := max(b.Refusals*exchangeTime.Seconds(), float64(b.OwnRecent+b.OthersRecent))
	return random * max(1, known, float64(b.OwnRecent)/share)
}

// earliestWithRoom returns the bucket in which the room for a number of requests is reached, after
// the queued ones; -1 if there is not enough.
func earliestWithRoom(free []float64, queued, place float64) int {
	backlog, room := queued, 0.0
	for i, f := range free {
		backlog -= f
		if backlog < 0 {
			room -= backlog
			backlog = 0
		}
		if room > place {
			return i
		}
	}
	return -1
}

// leastLoaded spreads a number of requests over the buckets so that the load of the fullest is as
// low as possible, and returns the bucket of one of them, chosen by a number from 0 to 1.
func leastLoaded(free []float64, requests, choice float64) int {
	high, low := free[0], free[0]
	for _, f := range free {
		high, low = max(high, f), min(low, f)
	}
	low -= requests
	// What each bucket has free above the level is filled.
	filled := func(level float64) (sum float64) {
		for _, f := range free {
			sum += max(0, f-level)
		}
		return sum
	}
	for range levelSteps {
		if middle := (low + high) / 2; filled(middle) > requests {
			low = middle
		} else {
			high = middle
		}
	}
	rest := choice * filled(low)
	for i, f := range free {
		rest -= max(0, f-low)
		if rest < 0 {
			return i
		}
	}
	return len(free) - 1
}
