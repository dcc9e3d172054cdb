package returns

import "time"

const (
	// exchangeTime is how long it takes until all gateways know of a promise: a heartbeat interval
	// and that of a relay's bundles.
	exchangeTime = 600 * time.Millisecond
	// returnRateWindow is the span over which the rate of returns is averaged, as that of the
	// arrivals from which it is subtracted.
	returnRateWindow = time.Second
	// bookingsLife is for how long counted bookings are used again: counting 4,096 claims takes
	// 0.2 ms, too long for each of many refusals. Own promises are added meanwhile.
	bookingsLife = 20 * time.Millisecond
	// maxCounted bounds the subjects whose bookings are kept.
	maxCounted = 64
)

// Bookings are the promised returns to a service as far as this gateway knows them.
type Bookings struct {
	// Elapsed is how much of the current bucket has passed. All promises of a gateway use the same
	// buckets, so that what is promised in one does not depend on when it is looked at.
	Elapsed time.Duration
	// Due is how many callers are still to return in the current bucket and in each later one.
	Due [Buckets]int
	// Promised is how many of these were promised room.
	Promised [Buckets]int
	// OwnRecent of these were promised by this gateway within the last exchangeTime, so that others
	// may not know them yet, and OthersRecent by others.
	OwnRecent, OthersRecent int
	// Refusals is the rate of refusals over all gateways, in the second before exchangeTime.
	Refusals float64
	// Returning is the rate at which callers of the same or more urgent requests returned of late,
	// per second.
	Returning float64

	// countedAt is when the claims were counted.
	countedAt time.Time
}

// current reports whether the bookings may be used again.
func (b *Bookings) current(now time.Time) bool {
	sameBucket := now.UnixNano()/int64(Bucket) == b.countedAt.UnixNano()/int64(Bucket)
	return sameBucket && now.Sub(b.countedAt) < bookingsLife
}

// bookings returns the promised returns to a service. The caller holds the lock.
func (c *Claims) bookings(s Subject, now time.Time) *Bookings {
	elapsed := time.Duration(now.UnixNano()) % Bucket
	if b := c.counted[s]; b != nil && b.current(now) {
		b.Elapsed = elapsed
		return b
	}
	b := &Bookings{Elapsed: elapsed, countedAt: now}
	for _, h := range c.held {
		if h.Service != s.Service {
			continue
		}
		if age := now.Sub(h.RefusedAt); age >= exchangeTime && age < exchangeTime+returnRateWindow {
			b.Refusals += 1 / returnRateWindow.Seconds()
		}
		due := h.toldTime().Sub(now)
		switch {
		case h.Redeemed && h.Urgency <= s.Urgency && due > -exchangeTime-returnRateWindow && due <= -exchangeTime:
			b.Returning += 1 / returnRateWindow.Seconds()
		case !h.Redeemed && due >= 0 && due < Horizon:
			b.book(h, due, now)
		}
	}
	if c.counted == nil || len(c.counted) >= maxCounted {
		c.counted = map[Subject]*Bookings{}
	}
	c.counted[s] = b
	return b
}

// bookOwn adds a new promise to the bookings that are kept. The caller holds the lock.
func (c *Claims) bookOwn(h *heldClaim, now time.Time) {
	for s, b := range c.counted {
		if s.Service == h.Service && b.current(now) {
			b.Elapsed = time.Duration(now.UnixNano()) % Bucket
			b.book(h, h.Delay, now)
		}
	}
}

// book counts a claim that is due after a time.
func (b *Bookings) book(h *heldClaim, due time.Duration, now time.Time) {
	b.Due[(b.Elapsed+due)/Bucket]++
	if h.Room {
		b.Promised[(b.Elapsed+due)/Bucket]++
	}
	switch {
	case now.Sub(h.RefusedAt) >= exchangeTime:
	case h.own:
		b.OwnRecent++
	default:
		b.OthersRecent++
	}
}
