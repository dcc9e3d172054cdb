// Package ranks stands in for a group of ranks that advance in lock-step on an
// expert map: which experts are popular drifts, every step takes as long as the
// busiest rank, and a rank loads weights from the weight store before it can
// use a map.
package ranks

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/planner"
)

const (
	// tokensPerStep is what one step routes through each layer.
	tokensPerStep = 2048
	// zipfExponent is how uneven the popularity of experts is.
	zipfExponent = 0.6
)

// Config is the shape of a group. Set all fields.
type Config struct {
	Shape planner.Shape
	// Step is how long a step takes when the ranks' loads are even.
	Step time.Duration
	// Day is how long popularity takes to drift there and back.
	Day        time.Duration
	ExpertSize graniteknot.Bytes
	Weights    graniteknot.WeightStore
	Seed       uint64
}

// Group is the group. Make it with New and stop it with Stop.
type Group struct {
	config Config
	group  group.Group

	mu     sync.Mutex
	ranks  []expertmap.Rank
	maps   map[expertmap.Version]*planner.Placement
	mixes  [2]planner.Loads
	random *rand.Rand
	// counts are the tokens since Counts was called.
	counts planner.Loads
	stats  Stats
	skews  float64
	// ran is the map of the step that is being begun; a rank that begins it
	// with another breaks the promise.
	ran    expertmap.Version
	begun  time.Time
	latest graniteknot.Step
}

// Stats is what a group went through.
type Stats struct {
	Steps, Held int
	// Mixed counts steps in which two ranks used different maps.
	Mixed int
	// MeanSkew is the mean over steps of the largest over the mean rank load.
	MeanSkew float64
}

// New returns a group that waits for its keeper; first is the map that it
// begins with.
func New(c Config, first expertmap.Version, p *planner.Placement) *Group {
	g := &Group{
		config: c, ranks: make([]expertmap.Rank, c.Shape.Ranks), maps: map[expertmap.Version]*planner.Placement{first: p},
		random: rand.New(rand.NewPCG(c.Seed, c.Seed)), counts: planner.NewLoads(c.Shape), begun: time.Now(),
	}
	for i := range g.ranks {
		g.ranks[i] = expertmap.Rank{ID: graniteknot.Rank(i)}
		g.ranks[i].MarkLoaded(first)
	}
	g.mixes = [2]planner.Loads{g.popularity(), g.popularity()}
	g.group.Go(g.loop)
	return g
}

// Stop ends the group.
func (g *Group) Stop() { g.group.Stop() }

func (g *Group) popularity() planner.Loads {
	out := planner.NewLoads(g.config.Shape)
	for l := range out {
		sum := 0.0
		for i, e := range g.random.Perm(g.config.Shape.Experts) {
			out[l][e] = math.Pow(float64(i+1), -zipfExponent)
			sum += out[l][e]
		}
		for e := range out[l] {
			out[l][e] /= sum
		}
	}
	return out
}

// Offer makes a map known, so that ranks can load it.
func (g *Group) Offer(v expertmap.Version, p *planner.Placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maps[v] = p
}

// Send brings a keeper's message to its rank and returns the answer, if there
// is one now.
func (g *Group) Send(m expertmap.Message) (expertmap.Message, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	answer, ok, load := g.ranks[m.Rank].Handle(m)
	if load != 0 {
		g.load(m.Rank, load)
	}
	return answer, ok
}

// load fetches what a rank lacks of a map.
func (g *Group) load(r graniteknot.Rank, v expertmap.Version) {
	next, now := g.maps[v], g.maps[g.ranks[r].State().Current]
	if next == nil {
		return
	}
	missing := 0
	for l := range graniteknot.Layer(g.config.Shape.Layers) {
		for _, e := range next.Experts(l, r) {
			if now == nil || !holds(now.Experts(l, r), e) {
				missing++
			}
		}
	}
	g.group.Go(func(ctx context.Context) {
		if g.config.Weights.Load(ctx, graniteknot.Bytes(missing)*g.config.ExpertSize) != nil {
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ranks[r].MarkLoaded(v)
	})
}

func holds(list []graniteknot.Expert, e graniteknot.Expert) bool {
	for _, v := range list {
		if v == e {
			return true
		}
	}
	return false
}

// Counts returns the tokens of each expert since the last call.
func (g *Group) Counts() planner.Loads {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.counts
	g.counts = planner.NewLoads(g.config.Shape)
	return out
}

// Stats returns what the group went through.
func (g *Group) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	if s.Steps > 0 {
		s.MeanSkew = g.skews / float64(s.Steps)
	}
	return s
}

// loop runs steps; a held step is tried again after a step's time.
func (g *Group) loop(ctx context.Context) {
	timer := time.NewTimer(g.config.Step)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(time.Duration(float64(g.config.Step) * g.step()))
	}
}

// step lets all ranks that may begin the step, and ends it once all have. It
// returns the step's time over that of an even one.
func (g *Group) step() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	low := g.ranks[0].State().NextStep
	for i := range g.ranks {
		low = min(low, g.ranks[i].State().NextStep)
	}
	whole := true
	for i := range g.ranks {
		if g.ranks[i].State().NextStep > low {
			continue
		}
		v, ok := g.ranks[i].BeginStep()
		if !ok {
			whole = false
			continue
		}
		g.note(low, v)
	}
	if !whole {
		g.stats.Held++
		return 1
	}
	return g.route()
}

// note checks that all ranks begin a step with the same map.
func (g *Group) note(s graniteknot.Step, v expertmap.Version) {
	if s == g.latest && v != g.ran {
		g.stats.Mixed++
	}
	g.latest, g.ran = s, v
}

// route draws the step's tokens and returns its skew.
func (g *Group) route() float64 {
	mix := 0.5 - 0.5*math.Cos(2*math.Pi*float64(time.Since(g.begun))/float64(g.config.Day))
	loads := planner.NewLoads(g.config.Shape)
	for l := range loads {
		for e := range loads[l] {
			mean := tokensPerStep * ((1-mix)*g.mixes[0][l][e] + mix*g.mixes[1][l][e])
			loads[l][e] = math.Max(0, mean+math.Sqrt(mean)*g.random.NormFloat64())
			g.counts[l][e] += loads[l][e]
		}
	}
	skew := g.maps[g.ran].Skew(loads)
	g.stats.Steps++
	g.skews += skew
	return skew
}

// String sums up a group's life.
func (s Stats) String() string {
	return fmt.Sprintf("%d steps, mean skew %.3f, %d held, %d with mixed maps", s.Steps, s.MeanSkew, s.Held, s.Mixed)
}
