package quota

import (
	"math"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

const (
	// longestAgain is the longest time until a process asks again, or so much for each process
	// that asks, however many there are.
	longestAgain = 3 * time.Second
	againEach    = 125 * time.Millisecond
	// askerTime is for how long a process that asked counts as one that has requests, and
	// askerKept for how long as one that may ask again.
	askerTime = 5 * time.Second
	askerKept = 20 * time.Second
	// idleTime is for how long a limit is kept that nobody asks for.
	idleTime = time.Minute
)

// Home deals out permits. The zero value works.
type Home struct {
	mu    sync.Mutex
	deals map[catalog.Life]*deal
}

// deal is what a home keeps of one limit.
type deal struct {
	// next is when the next permit is valid from.
	next time.Time
	// again is when the last process that got too few was told to ask again.
	again time.Time
	// askers are the processes that asked of late, by when.
	askers map[graniteknot.BoxName]time.Time
	used   time.Time
}

// Deal grants at most what is wanted of a limit. Who gets less is told when to ask again, each
// a little later than the one before, so that the home is asked about as often as it has
// permits, however many want some.
func (h *Home) Deal(now time.Time, life catalog.Life, rate Rate, box graniteknot.BoxName, want int) Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.deal(now, life, rate)
	d.used, d.askers[box] = now, now
	every, ahead := rate.every(), rate.ahead()
	// Nothing is saved up, and a rate that rose does not wait for the permits of the old one.
	d.next = latest(now, earliest(d.next, now.Add(ahead+every)))
	n := min(want, d.part(now, rate), mostHeld)
	g := Grant{Key: KeyOf(life), From: up(d.next.Sub(now)), Every: up(every), Askers: d.active(now)}
	for g.Count < n && d.next.Sub(now) <= ahead {
		d.next = d.next.Add(every)
		g.Count++
	}
	if g.Count < want {
		d.again = latest(d.again, latest(now, d.next.Add(-ahead))).Add(min(every, ahead) / 2)
		d.again = earliest(d.again, now.Add(max(longestAgain, time.Duration(len(d.askers))*againEach)))
		g.Again = up(d.again.Sub(now))
	}
	return g
}

// active counts the processes that asked of late.
func (d *deal) active(now time.Time) int {
	n := 0
	for box, at := range d.askers {
		switch age := now.Sub(at); {
		case age > askerKept:
			delete(d.askers, box)
		case age <= askerTime:
			n++
		}
	}
	return n
}

// part is how many permits one process gets at once: the same for all who ask.
func (d *deal) part(now time.Time, rate Rate) int {
	return 1 + int(rate.ahead().Seconds()/rate.every().Seconds()/float64(max(1, d.active(now))))
}

// deal returns what is kept of a limit; called with the lock held. A home that is new to a
// limit begins one permit later: the one before it may have dealt out what is valid now.
func (h *Home) deal(now time.Time, life catalog.Life, rate Rate) *deal {
	if h.deals == nil {
		h.deals = map[catalog.Life]*deal{}
	}
	found := h.deals[life]
	if found != nil {
		return found
	}
	for l, d := range h.deals {
		if now.Sub(d.used) > idleTime {
			delete(h.deals, l)
		}
	}
	found = &deal{next: now.Add(min(rate.every(), mostAhead)), askers: map[graniteknot.BoxName]time.Time{}}
	h.deals[life] = found
	return found
}

// up returns a time in whole milliseconds, rounded up.
func up(d time.Duration) int64 { return int64(math.Ceil(float64(d) / float64(time.Millisecond))) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
