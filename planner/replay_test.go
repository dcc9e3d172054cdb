package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"graniteknot.org/go/planner"
)

// day is a replay of drift: the popularity of experts goes from Latin-heavy
// batches to tariff notices and back, with bursts of notices, and each
// interval's counts are drawn around it.
type day struct {
	shape     planner.Shape
	intervals int
	// latin and notices are the two popularities of each layer's experts.
	latin, notices planner.Loads
	random         *rand.Rand
}

const (
	dayIntervals  = 288
	tokensPerStep = 2_000_000
	zipfExponent  = 0.6
	seed          = 42
)

func newDay(s planner.Shape) *day {
	d := &day{shape: s, intervals: dayIntervals, random: rand.New(rand.NewPCG(seed, seed))}
	d.latin, d.notices = d.popularity(), d.popularity()
	return d
}

// popularity is Zipf's law over a random order of the experts.
func (d *day) popularity() planner.Loads {
	out := planner.NewLoads(d.shape)
	for l := range out {
		sum := 0.0
		for i, e := range d.random.Perm(d.shape.Experts) {
			out[l][e] = math.Pow(float64(i+1), -zipfExponent)
			sum += out[l][e]
		}
		for e := range out[l] {
			out[l][e] /= sum
		}
	}
	return out
}

// at draws the counts of an interval.
func (d *day) at(i int) planner.Loads {
	mix := 0.5 - 0.5*math.Cos(2*math.Pi*float64(i)/float64(d.intervals))
	if i%48 >= 40 && i%48 < 43 {
		mix = min(1, mix+0.4)
	}
	out := planner.NewLoads(d.shape)
	for l := range out {
		for e := range out[l] {
			mean := tokensPerStep * ((1-mix)*d.latin[l][e] + mix*d.notices[l][e])
			out[l][e] = max(0, mean+math.Sqrt(mean)*d.random.NormFloat64()*3)
		}
	}
	return out
}

// outcome is what a policy came to over the day.
type outcome struct {
	name      string
	mean, p99 float64
	moves     int
	distance  float64
}

// policy returns the placement for the next interval and how many experts were
// moved for it.
type policy func(counts planner.Loads, now *planner.Placement) (*planner.Placement, int)

// replay runs a policy. It sees the counts of an interval only after it.
func replay(s planner.Shape, name string, p policy) outcome {
	d := newDay(s)
	now := planner.NewPlacement(s)
	out := outcome{name: name}
	var skews []float64
	for i := range d.intervals {
		counts := d.at(i)
		if i > 0 {
			skew := now.Skew(counts)
			skews = append(skews, skew)
			out.mean += skew
			out.distance += skew / planner.LowerBound(s, counts)
		}
		next, moved := p(counts, now)
		now = next
		if i > 0 {
			// The first placement is free to all.
			out.moves += moved
		}
	}
	slices.Sort(skews)
	out.mean /= float64(len(skews))
	out.distance /= float64(len(skews))
	out.p99 = skews[len(skews)*99/100]
	return out
}

func neverMove(_ planner.Loads, now *planner.Placement) (*planner.Placement, int) { return now, 0 }

func fullReplan(s planner.Shape) policy {
	return func(counts planner.Loads, now *planner.Placement) (*planner.Placement, int) {
		next := planner.FullReplan(s, counts)
		return next, next.MovesFrom(now)
	}
}

func ours(s planner.Shape, w planner.Weights) policy {
	p := &planner.Planner{Shape: s, Weights: w, MaxMoves: 10000}
	first := true
	return func(counts planner.Loads, now *planner.Placement) (*planner.Placement, int) {
		p.Observe(counts)
		if first {
			first = false
			return planner.FullReplan(s, counts), 0
		}
		plan := p.Plan(now)
		next := now.Clone()
		for _, b := range plan.Batches {
			next.Apply(b)
		}
		return next, plan.Moves()
	}
}

var (
	replayShape    = planner.Shape{Layers: 4, Experts: 256, Ranks: 32, Slots: 9}
	herbarium      = planner.Weights{Skew: 10, Cost: 30}
	communications = planner.Weights{Skew: 30, Cost: 10}
)

// expertBytes is the size of one expert of one layer: three matrices of 7168
// by 2048 in one byte a weight.
const expertBytes = 3 * 7168 * 2048

// linkRate and disturbance say what a move costs a step while it is loaded:
// the share of a rank's memory bandwidth that it takes.
const (
	linkRate    = 10e9
	disturbance = 0.1
)

func (o outcome) String() string {
	bytes := float64(o.moves) * expertBytes
	lost := bytes / linkRate * disturbance
	return fmt.Sprintf("%-22s %9.4f %9.4f %9d %9.1f %9.2f %9.4f", o.name, o.mean, o.p99, o.moves, bytes/1e9, lost, o.distance)
}

// TestDayOfDrift replays a day through the baselines and both partners'
// weights, and bounds the figures, which are the same on every machine.
func TestDayOfDrift(t *testing.T) {
	never := replay(replayShape, "never move", neverMove)
	full := replay(replayShape, "full re-plan", fullReplan(replayShape))
	sheets := replay(replayShape, "herbarium 10:30", ours(replayShape, herbarium))
	urgent := replay(replayShape, "communications 30:10", ours(replayShape, communications))
	t.Logf("%-22s %9s %9s %9s %9s %9s %9s", "policy", "mean", "p99", "moves", "GB", "lost s", "of bound")
	for _, o := range []outcome{never, full, sheets, urgent} {
		t.Log(o)
	}
	for _, o := range []outcome{sheets, urgent} {
		if o.mean > 1.05*full.mean {
			t.Errorf("%s: mean skew %.4f, a full re-plan has %.4f", o.name, o.mean, full.mean)
		}
		if o.moves > full.moves/10 {
			t.Errorf("%s: %d moves, a full re-plan has %d", o.name, o.moves, full.moves)
		}
	}
	if urgent.p99 > full.p99 {
		t.Errorf("p99 skew %.4f, a full re-plan has %.4f", urgent.p99, full.p99)
	}
	if sheets.moves*3 > urgent.moves {
		t.Errorf("the herbarium's weights move %d experts, the office's %d", sheets.moves, urgent.moves)
	}
}
