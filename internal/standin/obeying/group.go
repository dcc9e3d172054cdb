// Package obeying is a stand-in of a lock-step group whose ranks obey orders:
// they prepare, hold, arm and go on as they are told, check epochs and fences,
// and compare nothing with each other. Orders may be lost, or carried out late.
// Passes that begin with maps of different versions or contents are counted.
package obeying

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/planner"
)

// Group is the group. Make it with New.
type Group struct {
	Shape planner.Shape
	// Load is how long one expert takes to load.
	Load time.Duration
	// LateShare of the orders get no answer and are carried out LateFrom to
	// LateTo later.
	LateShare        float64
	LateFrom, LateTo time.Duration
	// Unfenced ranks obey orders with any fence.
	Unfenced bool

	mu     sync.Mutex
	random *rand.Rand
	ranks  []*Rank
	epoch  held.Epoch
	step   graniteknot.Step
	// liked is how often each expert is chosen in a pass, by set and expert.
	liked planner.Loads
	// apart counts the passes that began with different maps at two ranks; firstApart tells
	// of the first.
	apart      int
	firstApart string
	// stood is how long the group has been kept from a pass by a hold.
	stood, longest time.Duration
	wait           group.Group
}

// Rank is one rank; it implements held.Rank.
type Rank struct {
	group  *Group
	number graniteknot.Rank
	state  held.State
	// placements of the map in force and the prepared one.
	now, prepared [][]graniteknot.Expert
	// digest and preparedDigest are those of all ranks' experts under these maps.
	digest, preparedDigest uint64
	highest                held.Version
	fence                  graniteknot.Position
	counts                 []uint64
	// Deaf ranks answer nothing.
	deaf bool
	// pace above 1 is a slow rank.
	pace float64
}

// New returns a group under the map that groups open with.
func New(s planner.Shape, seed uint64) *Group {
	g := &Group{Shape: s, random: rand.New(rand.NewPCG(seed, seed)), epoch: 1, liked: planner.NewLoads(s)}
	for r := range s.Ranks {
		g.ranks = append(g.ranks, &Rank{group: g, number: graniteknot.Rank(r), counts: make([]uint64, s.Layers*s.Experts), pace: 1})
	}
	g.open()
	return g
}

// open forms the group; called before use or with the lock held.
func (g *Group) open() {
	dealt := planner.NewRoundRobin(g.Shape)
	for _, r := range g.ranks {
		r.state = held.State{Epoch: g.epoch, GroupRunning: true, Step: g.step}
		r.now, r.prepared = lists(dealt, r.number), nil
		r.digest = digest(dealt)
		r.highest = 0
	}
}

// Rank returns one rank.
func (g *Group) Rank(r graniteknot.Rank) *Rank { return g.ranks[r] }

// Like sets how often each expert is chosen in a pass.
func (g *Group) Like(l planner.Loads) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.liked = l
}

// Break forms the group anew: all maps are forgotten.
func (g *Group) Break() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.open()
}

// Deafen makes a rank answer nothing, or answer again.
func (g *Group) Deafen(r graniteknot.Rank, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[r].deaf = deaf
}

// Slow makes a rank tell that it is so many times slower than it should be.
func (g *Group) Slow(r graniteknot.Rank, times float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[r].pace = times
}

// Run begins a pass at each period until ctx is done.
func (g *Group) Run(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pass(period)
		}
	}
}

// Pass begins one pass, if no rank holds it; for groups that do not run.
func (g *Group) Pass() { g.pass(0) }

// pass begins one pass, if no rank holds it.
func (g *Group) pass(period time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, r := range g.ranks {
		if r.state.Held == next {
			g.stood += period
			g.longest = max(g.longest, g.stood)
			return
		}
	}
	g.stood, g.step = 0, next
	for _, r := range g.ranks {
		r.begin(next)
	}
	for _, r := range g.ranks {
		if first := g.ranks[0]; r.state.Current != first.state.Current || r.digest != first.digest {
			if g.apart == 0 {
				g.firstApart = fmt.Sprintf("step %d: rank 0 has map %d (%x), rank %d has map %d (%x)",
					next, first.state.Current, first.digest, r.number, r.state.Current, r.digest)
			}
			g.apart++
			return
		}
	}
}

func (r *Rank) begin(step graniteknot.Step) {
	s := &r.state
	s.Step = step
	if s.Armed != 0 && s.ArmedAt == step {
		s.Current, s.Armed, s.ArmedAt, s.Prepared = s.Armed, 0, 0, 0
		r.now, r.prepared = r.prepared, nil
		r.digest = r.preparedDigest
	}
	at := 0
	for l := range r.group.liked {
		for _, v := range r.group.liked[l] {
			r.counts[at] += uint64(v)
			at++
		}
	}
}

// Shown is what a group shows of itself.
type Shown struct {
	// Apart counts passes with different maps, and FirstApart describes the first.
	Apart      int
	FirstApart string
	// Longest is the longest time that the group was kept from a pass.
	Longest time.Duration
	// Mappings are the maps in force, by rank.
	Mappings []held.Version
	Step     graniteknot.Step
	// Held tells that a rank holds.
	Held bool
	// Skew is that of what is liked, under the map in force.
	Skew float64
	// Experts is how many experts each rank holds, over all sets.
	Experts []int
}

// Show returns what the group shows.
func (g *Group) Show() Shown {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := Shown{Apart: g.apart, FirstApart: g.firstApart, Longest: g.longest, Step: g.step}
	p := planner.NewRoundRobin(g.Shape)
	for _, r := range g.ranks {
		out.Mappings = append(out.Mappings, r.state.Current)
		out.Held = out.Held || r.state.Held != held.NoStep
		held := 0
		for l, experts := range r.now {
			p.SetExperts(graniteknot.Layer(l), r.number, experts)
			held += len(experts)
		}
		out.Experts = append(out.Experts, held)
	}
	out.Skew = p.Skew(g.liked)
	return out
}

// SkewOf returns the skew of other loads than those liked, under the map in force.
func (g *Group) SkewOf(l planner.Loads) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := planner.NewRoundRobin(g.Shape)
	for _, r := range g.ranks {
		for layer, experts := range r.now {
			p.SetExperts(graniteknot.Layer(layer), r.number, experts)
		}
	}
	return p.Skew(l)
}

// AnyArmed tells whether a rank is armed.
func (g *Group) AnyArmed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.state.Armed != 0 {
			return true
		}
	}
	return false
}

// Wait waits for the orders that are carried out late.
func (g *Group) Wait() { g.wait.Wait() }
