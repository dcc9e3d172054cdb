package member

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// DefaultSuspicionTimeout is how long a suspect has to overrule the suspicion.
	DefaultSuspicionTimeout = 5 * time.Second
	// forgetAfter is how long a dead member is remembered, so that old news
	// does not bring it back.
	forgetAfter = 10 * time.Minute
	// spreadFactor times the logarithm of the number of members is how often
	// one piece of news is sent by each process.
	spreadFactor = 3
)

// line is a member and what this process does about it.
type line struct {
	Member
	// changed is when this process learned of the state.
	changed time.Time
	// sent counts how often the news was passed on.
	sent int
	// heard is when the member itself was last heard.
	heard time.Time
}

// View is one process's view. Set Self; the zero rest works. It is safe for
// use by several goroutines.
type View struct {
	// SuspicionTimeout is DefaultSuspicion when zero.
	SuspicionTimeout time.Duration
	// Rand makes choices repeatable in tests; the global source when nil.
	Rand *rand.Rand

	mu sync.Mutex
	// self is this process; its version only grows.
	self  Member
	lines map[graniteknot.Address]*line
	// news holds the lines that are still passed on.
	news []*line
	// order is the shuffled round of probes.
	order  []graniteknot.Address
	probes uint64
	stats  Stats
}

// Stats counts what a view went through.
type Stats struct {
	Suspected, Refuted, Died uint64
}

// SetSelf says who this process is.
func (v *View) SetSelf(m Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self = m
}

// Self returns this process's own line.
func (v *View) Self() Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Leave tells everybody that this process is going.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.State = StateLeaving
	v.self.Version++
}

// Merge takes in what others say.
func (v *View) Merge(members []Member, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range members {
		v.merge(&members[i], now)
	}
}

func (v *View) merge(m *Member, now time.Time) {
	if m.Address == v.self.Address {
		v.refute(m)
		return
	}
	old, known := v.lines[m.Address]
	if !known && m.State == StateDead {
		return
	}
	if known && !m.newer(&old.Member) {
		return
	}
	v.put(m, now)
}

// refute overrules a suspicion against this process.
func (v *View) refute(m *Member) {
	if m.Incarnation != v.self.Incarnation || m.State < StateSuspect || m.Version < v.self.Version {
		return
	}
	v.self.Version = m.Version + 1
	v.stats.Refuted++
}

func (v *View) put(m *Member, now time.Time) {
	if v.lines == nil {
		v.lines = map[graniteknot.Address]*line{}
	}
	l, known := v.lines[m.Address]
	if !known {
		l = &line{}
		v.lines[m.Address] = l
	}
	if m.State == StateDead && l.State != StateDead {
		v.stats.Died++
	}
	l.Member = *m
	l.changed = now
	l.sent = 0
	if !slices.Contains(v.news, l) {
		v.news = append(v.news, l)
	}
}

// Updates returns at most limit lines for a message to another member, and counts
// them as passed on: this process's own, what it thinks of the receiver if that
// is bad, so that the receiver can overrule it, and the lines passed on least.
func (v *View) Updates(to graniteknot.Address, limit int) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []Member{v.self}
	if l, ok := v.lines[to]; ok && l.State >= StateSuspect {
		out = append(out, l.Member)
	}
	slices.SortStableFunc(v.news, func(a, b *line) int { return a.sent - b.sent })
	for _, l := range v.news {
		if len(out) >= limit {
			break
		}
		l.sent++
		out = append(out, l.Member)
	}
	times := v.times()
	v.news = slices.DeleteFunc(v.news, func(l *line) bool { return l.sent >= times })
	return out
}

// times is how often one piece of news is sent.
func (v *View) times() int { return spreadFactor * bits.Len(uint(len(v.lines)+2)) }

// Snapshot returns every line, this process's first, for a process that is new.
func (v *View) Snapshot() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []Member{v.self}
	for _, l := range v.lines {
		if l.State != StateDead {
			out = append(out, l.Member)
		}
	}
	slices.SortFunc(out[1:], func(a, b Member) int { return compareAddress(a.Address, b.Address) })
	return out
}

// MarkHeard notes that a member answered, and of which life the answer was.
func (v *View) MarkHeard(a graniteknot.Address, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l, ok := v.lines[a]; ok {
		l.heard = now
	}
}

// MarkUnreachable notes that neither this process nor its helpers reached a member.
func (v *View) MarkUnreachable(a graniteknot.Address, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.lines[a]
	if !ok || l.State >= StateSuspect {
		return
	}
	m := l.Member
	m.State = StateSuspect
	v.stats.Suspected++
	v.put(&m, now)
}

// Tick turns suspects whose time is up into dead members, and forgets the
// long dead. It returns the members that died now.
func (v *View) Tick(now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var died []Member
	for _, a := range slices.SortedFunc(maps.Keys(v.lines), compareAddress) {
		l := v.lines[a]
		if l.State == StateSuspect && now.Sub(l.changed) >= v.suspicion() {
			m := l.Member
			m.State = StateDead
			v.put(&m, now)
			died = append(died, m)
		}
		if l.State == StateDead && now.Sub(l.changed) >= forgetAfter {
			delete(v.lines, a)
			v.news = slices.DeleteFunc(v.news, func(n *line) bool { return n == l })
		}
	}
	return died
}

// Members returns the lines of a role, sorted by address; this process is
// among them when it has the role.
func (v *View) Members(role Role) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []Member
	if v.self.Role == role {
		out = append(out, v.self)
	}
	for _, l := range v.lines {
		if l.Role == role {
			out = append(out, l.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return compareAddress(a.Address, b.Address) })
	return out
}

// Get returns what is known of an address.
func (v *View) Get(a graniteknot.Address) (Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a == v.self.Address {
		return v.self, true
	}
	l, ok := v.lines[a]
	if !ok {
		return Member{}, false
	}
	return l.Member, true
}

// Len returns the number of other members that are not dead.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, l := range v.lines {
		if l.State != StateDead {
			n++
		}
	}
	return n
}

// Stats returns the counts.
func (v *View) Stats() Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stats
}

func (v *View) suspicion() time.Duration {
	if v.SuspicionTimeout > 0 {
		return v.SuspicionTimeout
	}
	return DefaultSuspicionTimeout
}
