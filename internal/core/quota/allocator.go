package quota

import (
	"math"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

const (
	// maxRetryDelay is the longest time until a process is told to ask again, unless
	// retryDelayPerProcess for each requesting process is longer.
	maxRetryDelay        = 3 * time.Second
	retryDelayPerProcess = 125 * time.Millisecond
	// activeTime is how long a process counts as having requests after it asked for permits,
	// retentionTime how long it counts as one that may ask again.
	activeTime    = 5 * time.Second
	retentionTime = 20 * time.Second
	// idleTimeout is how long the state of a limit is kept when nobody asks for permits.
	idleTimeout = time.Minute
)

// Allocator grants permits for the limits that this process owns. The zero value is ready to use.
type Allocator struct {
	mu     sync.Mutex
	limits map[catalog.Life]*limitState
}

// limitState is what the owner of a limit keeps of it.
type limitState struct {
	// nextPermit is when the next permit becomes valid.
	nextPermit time.Time
	// lastRetry is the latest time at which a process was told to ask again.
	lastRetry time.Time
	// requesters holds the time of the last request of each process.
	requesters map[graniteknot.BoxName]time.Time
	lastUsed   time.Time
}

// Grant grants at most the wanted number of permits. A process that gets fewer is told when to
// ask again, each a little later than the one before, so that requests arrive about as often as
// permits become available, however many processes want some.
func (a *Allocator) Grant(now time.Time, life catalog.Life, rate Rate, box graniteknot.BoxName, want int) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.state(now, life, rate)
	s.lastUsed, s.requesters[box] = now, now
	interval, lookahead := rate.interval(), rate.lookahead()
	// Unused permits do not accumulate, and a raised rate takes effect without waiting for
	// permits that were granted ahead at the old one.
	s.nextPermit = latest(now, earliest(s.nextPermit, now.Add(lookahead+interval)))
	n := min(want, s.perProcess(now, rate), maxHeld)
	g := Grant{Key: KeyOf(life), From: ceilMilliseconds(s.nextPermit.Sub(now)), Every: ceilMilliseconds(interval), Askers: s.activeRequesters(now)}
	for g.Count < n && s.nextPermit.Sub(now) <= lookahead {
		s.nextPermit = s.nextPermit.Add(interval)
		g.Count++
	}
	if g.Count < want {
		s.lastRetry = latest(s.lastRetry, latest(now, s.nextPermit.Add(-lookahead))).Add(min(interval, lookahead) / 2)
		s.lastRetry = earliest(s.lastRetry, now.Add(max(maxRetryDelay, time.Duration(len(s.requesters))*retryDelayPerProcess)))
		g.Again = ceilMilliseconds(s.lastRetry.Sub(now))
	}
	return g
}

// activeRequesters counts the processes that asked within activeTime.
func (s *limitState) activeRequesters(now time.Time) int {
	n := 0
	for box, at := range s.requesters {
		switch age := now.Sub(at); {
		case age > retentionTime:
			delete(s.requesters, box)
		case age <= activeTime:
			n++
		}
	}
	return n
}

// perProcess returns the most permits that one grant holds, the same for every process.
func (s *limitState) perProcess(now time.Time, rate Rate) int {
	return 1 + int(rate.lookahead().Seconds()/rate.interval().Seconds()/float64(max(1, s.activeRequesters(now))))
}

// state returns the state of a limit; called with the lock held. A new owner delays its first
// permit by one interval, since the previous owner may have granted those that are valid now.
func (a *Allocator) state(now time.Time, life catalog.Life, rate Rate) *limitState {
	if a.limits == nil {
		a.limits = map[catalog.Life]*limitState{}
	}
	found := a.limits[life]
	if found != nil {
		return found
	}
	for l, s := range a.limits {
		if now.Sub(s.lastUsed) > idleTimeout {
			delete(a.limits, l)
		}
	}
	found = &limitState{nextPermit: now.Add(min(rate.interval(), maxLookahead)), requesters: map[graniteknot.BoxName]time.Time{}}
	a.limits[life] = found
	return found
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

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
