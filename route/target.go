package route

import (
	"math"
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// maxPrefixes bounds the prefixes remembered for one target.
	maxPrefixes = 128
	// failuresToEject is how many failures in a row take a target out.
	failuresToEject = 3
	// firstEjection is how long a target is out the first time; it doubles.
	firstEjection = time.Second
	// longestEjection bounds the doubling.
	longestEjection = 30 * time.Second
	// slowStart is how long a target that is new gets less work.
	slowStart = 5 * time.Second
)

// Load is an agent's report.
type Load struct {
	Incarnation            graniteknot.Incarnation
	Queued, Running, Slots int
	// Service is the mean time that a slot is held.
	Service time.Duration
	Leaving bool
	// Prefixes are hashes of what the target's cache holds, newest first; nil
	// when the report does not tell.
	Prefixes []uint64
	// Measured is when the report was true; the time of its arrival when zero.
	Measured time.Time
}

// Target is what is known of one target. Policies read it; only the Table
// writes it.
type Target struct {
	Address graniteknot.Address
	Zone    graniteknot.AvailabilityZone
	// Load is the last report, which lags.
	Load Load
	// OwnInFlight counts this entry's dispatches that have not ended.
	OwnInFlight int
	// OthersInFlight is what the report shows of other entries' work.
	OthersInFlight int
	// Leaving targets get no new work.
	Leaving bool
	// Down targets are thought dead; they get work only when no other is left.
	Down bool

	since time.Time
	// failures counts failures since the last success.
	failures int
	ejected  time.Time
	ejection time.Duration
	probing  bool
	prefixes prefixSet
	// recent holds the own dispatches that a report may not show yet.
	recent recentList
}

// Incarnation returns the life that reported last; 0 when none has.
func (t *Target) Incarnation() graniteknot.Incarnation { return t.Load.Incarnation }

// busyness estimates how many requests the target has beyond the mean of all.
// What this entry has there is known now. What others have was true when the
// report was measured; how much of that is still so fades with the time that a
// request is held. Believing an old report in full sends all entries to the
// same targets at once.
func (t *Target) busyness(now time.Time, meanOthers float64) float64 {
	hold := max(t.Load.Service, time.Millisecond)
	age := max(now.Sub(t.Load.Measured), 0)
	fresh := math.Exp(-float64(age) / float64(hold))
	return float64(t.OwnInFlight) + fresh*(float64(t.OthersInFlight)-meanOthers) + meanOthers
}

// expectedWait estimates how long a new request waits for a slot among busy
// ones, and grows smoothly before all slots are taken.
func (t *Target) expectedWait(busy float64) time.Duration {
	slots := float64(max(t.Load.Slots, 1))
	hold := float64(t.Load.Service)
	full := max(busy, 0) / slots
	wait := hold * full * full * full / 8
	if waiting := busy - slots + 1; waiting > 0 {
		wait += hold * waiting / slots
	}
	return time.Duration(wait)
}

// usable tells whether the target may get new work.
func (t *Target) usable(now time.Time) bool {
	if t.Leaving || t.Load.Leaving {
		return false
	}
	return !t.Down && now.After(t.ejected) && !t.probing
}

// prefixSet is a bounded set of prefix hashes in which the oldest go first.
type prefixSet struct {
	// order is a ring of the hashes in members.
	order   [maxPrefixes]uint64
	next    int
	members map[uint64]struct{}
}

func (s *prefixSet) add(h uint64) {
	if _, had := s.members[h]; had || h == 0 {
		return
	}
	if s.members == nil {
		s.members = map[uint64]struct{}{}
	}
	delete(s.members, s.order[s.next])
	s.order[s.next] = h
	s.next = (s.next + 1) % maxPrefixes
	s.members[h] = struct{}{}
}

func (s *prefixSet) has(h uint64) bool {
	_, ok := s.members[h]
	return ok
}

// reset empties the set.
func (s *prefixSet) reset() {
	clear(s.members)
	s.order = [maxPrefixes]uint64{}
	s.next = 0
}

// recentDispatches bounds the own dispatches remembered for one target.
const recentDispatches = 32

// recentList is a ring of own dispatches.
type recentList struct {
	ring [recentDispatches]recent
	next int
}

// recent is one own dispatch.
type recent struct {
	at time.Time
	// prefix is the longest of the prompt; 0 for none.
	prefix uint64
}

func (l *recentList) add(at time.Time, prefix uint64) {
	l.ring[l.next] = recent{at: at, prefix: prefix}
	l.next = (l.next + 1) % recentDispatches
}
