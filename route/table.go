package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// maxHolders bounds the targets remembered for one prefix.
const maxHolders = 4

// maxIndexed bounds the prefixes that a table remembers holders of.
const maxIndexed = 16384

// Result is how a dispatch ended, for the table.
type Result uint8

// The results.
const (
	// ResultAnswered is a whole answer.
	ResultAnswered Result = iota
	// ResultRefused is an answer by a target that is well but busy or leaving.
	ResultRefused
	// ResultFailed is a target that could not be reached or broke off.
	ResultFailed
	// ResultCancelled says nothing about the target.
	ResultCancelled
)

// Table is what an entry knows of one service's targets. Set Policy; a zero
// Table has no targets. It is safe for use by several goroutines.
type Table struct {
	Policy Policy
	// Rand makes choices repeatable in tests; the global source when nil.
	Rand *rand.Rand

	mu      sync.Mutex
	targets []*Target
	byName  map[graniteknot.Address]*Target
	// holders finds the targets that may hold a prefix; it holds at most
	// maxIndexed prefixes, and forgets any when full.
	holders map[uint64]*holderList
	// view, usable and untried are kept between choices to save allocations.
	view    View
	usable  []*Target
	untried []*Target
	// stale tells that usable has to be collected anew; it has to be at
	// nextUsable too, when an ejection ends.
	stale      bool
	nextUsable time.Time
	stats      Stats
}

type holderList struct {
	list [maxHolders]*Target
	next int
}

// Stats counts choices and ejections.
type Stats struct {
	Chosen, PrefixHits, Ejected, Probes uint64
}

// SetTargets gives the targets of the service, from the settings. What is known of
// those that stay is kept.
func (t *Table) SetTargets(addresses []graniteknot.Address, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byName
	t.byName = make(map[graniteknot.Address]*Target, len(addresses))
	t.targets = t.targets[:0]
	for _, a := range addresses {
		target, ok := known[a]
		if !ok {
			target = &Target{Address: a, since: now}
			if known == nil {
				// All targets are new to a new entry; none needs a slow start.
				target.since = now.Add(-slowStart)
			}
		}
		t.byName[a] = target
		t.targets = append(t.targets, target)
	}
	t.stale = true
}

// Addresses returns the targets.
func (t *Table) Addresses() []graniteknot.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]graniteknot.Address, len(t.targets))
	for i, target := range t.targets {
		out[i] = target.Address
	}
	return out
}

// Choice is a chosen target.
type Choice struct {
	Address graniteknot.Address
	// Incarnation is 0 when the target has not reported yet.
	Incarnation graniteknot.Incarnation
}

// Choose returns a target and counts a dispatch to it; call Done at its end.
// It returns false when there is no target that may get work.
func (t *Table) Choose(q *Query) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.Targets = t.candidates(q)
	if len(t.view.Targets) == 0 {
		return Choice{}, false
	}
	t.view.Rand = t.random()
	t.lookup(q)
	target := t.Policy.Choose(&t.view, q)
	t.begin(target, q)
	return Choice{Address: target.Address, Incarnation: target.Load.Incarnation}, true
}

// candidates are the usable targets that were not tried. With none left that
// is usable at all, they are those that do not leave, so that ejection never
// takes everything out.
func (t *Table) candidates(q *Query) []*Target {
	if t.stale || !t.nextUsable.IsZero() && !q.Now.Before(t.nextUsable) {
		t.collect(q.Now)
	}
	if len(q.Tried) == 0 {
		return t.usable
	}
	t.untried = t.untried[:0]
	for _, target := range t.usable {
		if !slices.Contains(q.Tried, target.Address) {
			t.untried = append(t.untried, target)
		}
	}
	return t.untried
}

// collect finds the usable targets.
func (t *Table) collect(now time.Time) {
	t.stale, t.nextUsable = false, time.Time{}
	t.usable = t.usable[:0]
	for _, target := range t.targets {
		if target.usable(now) {
			t.usable = append(t.usable, target)
			continue
		}
		if target.ejected.After(now) && (t.nextUsable.IsZero() || target.ejected.Before(t.nextUsable)) {
			t.nextUsable = target.ejected.Add(1)
		}
	}
	if len(t.usable) > 0 {
		return
	}
	for _, target := range t.targets {
		if !target.Leaving && !target.Load.Leaving {
			t.usable = append(t.usable, target)
		}
	}
}

func (t *Table) begin(target *Target, q *Query) {
	t.stats.Chosen++
	target.OwnInFlight++
	if target.failures >= failuresToEject {
		target.probing = true
		t.stale = true
		t.stats.Probes++
	}
	if len(q.Prefixes) > 0 && target.prefixes.has(q.Prefixes[len(q.Prefixes)-1]) {
		t.stats.PrefixHits++
	}
	for _, h := range q.Prefixes {
		t.remember(target, h)
		target.recent.add(q.Now, h)
	}
}

// Done notes how a dispatch ended.
func (t *Table) Done(a graniteknot.Address, r Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.byName[a]
	if !ok {
		return
	}
	target.OwnInFlight = max(target.OwnInFlight-1, 0)
	t.stale = t.stale || target.probing
	target.probing = false
	switch r {
	case ResultAnswered, ResultRefused:
		target.failures = 0
		target.ejection = 0
	case ResultFailed:
		t.fail(target, now)
	case ResultCancelled:
	}
}

// fail ejects a target after a few failures in a row, longer each time.
func (t *Table) fail(target *Target, now time.Time) {
	target.failures++
	if target.failures < failuresToEject {
		return
	}
	target.ejection = min(max(2*target.ejection, firstEjection), longestEjection)
	target.ejected = now.Add(target.ejection)
	t.stale = true
	t.stats.Ejected++
}

// UpdateLoad takes in an agent's report.
func (t *Table) UpdateLoad(a graniteknot.Address, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.byName[a]
	if !ok || l.Incarnation < target.Load.Incarnation {
		return
	}
	if target.Load.Incarnation != 0 && l.Incarnation > target.Load.Incarnation {
		// Another life: its cache is empty and it starts slowly.
		target.prefixes = prefixSet{}
		target.since = now
	}
	if l.Measured.IsZero() {
		l.Measured = now
	}
	t.stale = t.stale || l.Leaving != target.Load.Leaving
	target.Load = l
	others := max(0, l.Queued+l.Running-target.OwnInFlight)
	t.view.MeanOthersInFlight += float64(others-target.OthersInFlight) / float64(len(t.targets))
	target.OthersInFlight = others
	t.learnPrefixes(target, l)
}

// TargetStatus is what others than its agent say of a target.
type TargetStatus struct {
	Leaving, Down bool
	// Zone is empty when nobody told it.
	Zone graniteknot.AvailabilityZone
}

// SetStatus notes what the box list and the other members say of a target.
func (t *Table) SetStatus(a graniteknot.Address, w TargetStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.byName[a]
	if !ok {
		return
	}
	t.stale = t.stale || target.Leaving != w.Leaving || target.Down != w.Down
	target.Leaving, target.Down = w.Leaving, w.Down
	if w.Zone != "" {
		target.Zone = w.Zone
	}
}

// Incarnation returns the life of a target that reported last.
func (t *Table) Incarnation(a graniteknot.Address) graniteknot.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target, ok := t.byName[a]; ok {
		return target.Load.Incarnation
	}
	return 0
}

// Stats returns the counts.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

func (t *Table) random() *rand.Rand {
	if t.Rand == nil {
		t.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return t.Rand
}
