package planner

import (
	"cmp"
	"slices"

	graniteknot "graniteknot.org/go"
)

// The values in force where a Planner's fields are zero.
const (
	// DefaultSmoothing is the weight of new counts.
	DefaultSmoothing = 0.6
	// DefaultMinMoveGain is the gain in a layer's skew that one move has to give
	// at equal weights.
	DefaultMinMoveGain = 0.002
	// DefaultHysteresis is how much a layer's skew has to grow before it is looked
	// at again.
	DefaultHysteresis = 0.01
	// DefaultMaxMoves bounds the moves of one plan.
	DefaultMaxMoves = 64
	// DefaultStagingSlots is how many experts a rank can load beside those it holds.
	DefaultStagingSlots = 1
)

// maxChain bounds the changes that are looked at for one layer.
const maxChain = 24

// Weights is what skew and moving weigh, from the partners' settings.
type Weights struct {
	Skew, Cost float64
}

// BlendWeights returns the weights of a group that both partners use, by their
// tokens.
func BlendWeights(a, b Weights, tokensA, tokensB float64) Weights {
	all := tokensA + tokensB
	if all == 0 {
		return a
	}
	return Weights{
		Skew: (a.Skew*tokensA + b.Skew*tokensB) / all,
		Cost: (a.Cost*tokensA + b.Cost*tokensB) / all,
	}
}

// Planner plans the moves of one group. Set Shape; the zero rest works. It is
// used by one goroutine, the group's map keeper.
type Planner struct {
	Shape   Shape
	Weights Weights
	// Smoothing is the weight of new counts in the smoothed ones, up to 1.
	Smoothing float64
	// MinMoveGain is the gain that one move has to give at equal weights.
	MinMoveGain float64
	// MaxMoves bounds the moves of one plan: the weight store's rate times the
	// time between plans, over the size of an expert.
	MaxMoves int
	// Hysteresis is how much a layer's skew has to grow, at equal weights, over
	// what the last plan left it at, before the layer is looked at again.
	Hysteresis float64
	// StagingSlots is how many experts a rank can load beside those it holds.
	StagingSlots int
	// MinSwitchGain is the gain in the sum of the layers' skews that a map has to give
	// beyond what its moves have to, for PlanNext to find it worth switching to.
	MinSwitchGain float64
	// TargetSkew is the skew that suffices: PlanSwitch makes no further changes once a map
	// that is worth switching to has it. 0 is none, in which case PlanSwitch takes the map
	// that is worth the most, as it does where the target can't be reached.
	TargetSkew float64
	// Slowdowns is how many times slower than a healthy one each rank is, 1 or more;
	// nil when all are healthy. PlanNext gives slower ranks less.
	Slowdowns []float64

	smoothed Loads
	// work and slots are kept between plans to save allocations.
	work  work
	slots []graniteknot.Expert
	// settled is the lowest skew that each layer had since its last change; 0
	// before the first look.
	settled []float64
}

// Move loads an expert into a slot of a rank.
type Move struct {
	Layer  graniteknot.Layer
	Expert graniteknot.Expert
	To     graniteknot.Rank
	Slot   int
}

// Batch is the moves that one switch of the map brings into force together.
type Batch struct{ Moves []Move }

// Plan is an ordered list of batches.
type Plan struct {
	Batches []Batch
	// SkewBefore and SkewAfter are the skews of the smoothed loads.
	SkewBefore, SkewAfter float64
}

// Moves counts the moves of all batches.
func (p *Plan) Moves() int {
	n := 0
	for _, b := range p.Batches {
		n += len(b.Moves)
	}
	return n
}

// Observe takes in token counts. A layer without counts (nil, or all zero) is
// a gap in the reports and changes nothing.
func (p *Planner) Observe(counts Loads) {
	if p.smoothed == nil {
		p.smoothed = NewLoads(p.Shape)
	}
	weight := orDefault(p.Smoothing, DefaultSmoothing)
	for l, c := range counts {
		if len(c) != p.Shape.Experts || c.mean(1) == 0 {
			continue
		}
		w := weight
		if p.smoothed[l].mean(1) == 0 {
			w = 1
		}
		for e, v := range c {
			p.smoothed[l][e] += w * (v - p.smoothed[l][e])
		}
	}
}

// Plan returns the moves from the present placement that are worth it.
func (p *Planner) Plan(now *Placement) Plan {
	if p.smoothed == nil {
		return Plan{SkewBefore: 1, SkewAfter: 1}
	}
	plan := Plan{SkewBefore: now.Skew(p.smoothed)}
	chains := make([]chain, 0, p.Shape.Layers)
	for l := range p.Shape.Layers {
		if c := p.chain(l, now.layer(l)); c.moves > 0 {
			chains = append(chains, c)
		}
	}
	// The layers with the most gain for their moves go first.
	slices.SortStableFunc(chains, func(a, b chain) int { return cmp.Compare(b.value(), a.value()) })
	budget := orDefault(p.MaxMoves, DefaultMaxMoves)
	var chosen []layerChange
	for _, c := range chains {
		for _, step := range c.steps {
			if len(step.moves) > budget {
				break
			}
			budget -= len(step.moves)
			chosen = append(chosen, step)
		}
	}
	plan.Batches = p.batches(chosen)
	next := now.Clone()
	for _, b := range plan.Batches {
		next.Apply(b)
	}
	plan.SkewAfter = next.Skew(p.smoothed)
	return plan
}

// layerChange is a change as moves.
type layerChange struct {
	layer int
	moves []Move
}

// chain is the changes of one layer that are worth it together.
type chain struct {
	steps []layerChange
	moves int
	// gain is what the layer's skew falls by.
	gain float64
}

func (c chain) value() float64 { return c.gain / float64(c.moves) }

// chain makes changes to a layer one after another, and keeps as many of them
// as give the most gain over what their moves have to give.
func (p *Planner) chain(l int, slots []graniteknot.Expert) chain {
	mean := p.smoothed[l].mean(p.Shape.Ranks)
	if mean == 0 {
		return chain{}
	}
	w := &p.work
	p.slots = append(p.slots[:0], slots...)
	w.reset(p.Shape, p.slots, p.smoothed[l])
	before := w.max() / mean
	if !p.triggered(l, before) {
		return chain{}
	}
	var best, now chain
	bestWorth := 0.0
	for range maxChain {
		// More can't be gained than what is left above the mean.
		left := w.max()/mean - 1
		if now.gain+left-p.threshold()*float64(now.moves+1) <= bestWorth {
			break
		}
		c, ok := w.best()
		if !ok {
			break
		}
		step := describe(w, l, c)
		w.apply(c)
		now.steps = append(now.steps, step)
		now.moves += c.moves
		now.gain = before - w.max()/mean
		if worth := now.gain - p.threshold()*float64(now.moves); worth > bestWorth {
			best, bestWorth = now, worth
		}
	}
	best.steps = now.steps[:len(best.steps)]
	p.settled[l] = before - best.gain
	return best
}

// triggered tells whether a layer's skew has grown enough to be looked at: the
// hysteresis that keeps noise from moving anything.
func (p *Planner) triggered(l int, skew float64) bool {
	if len(p.settled) != p.Shape.Layers {
		p.settled = make([]float64, p.Shape.Layers)
	}
	if p.settled[l] == 0 {
		return true
	}
	p.settled[l] = min(p.settled[l], skew)
	return skew > p.settled[l]+p.relative()*orDefault(p.Hysteresis, DefaultHysteresis)
}

// relative is what cost weighs against skew.
func (p *Planner) relative() float64 {
	if p.Weights.Skew <= 0 {
		return 1
	}
	return p.Weights.Cost / p.Weights.Skew
}

// threshold is the gain that one move has to give under the weights in force.
func (p *Planner) threshold() float64 {
	return p.relative() * orDefault(p.MinMoveGain, DefaultMinMoveGain)
}

func describe(w *work, l int, c change) layerChange {
	e, f := w.on(c.hot)[c.i], w.on(c.other)[c.j]
	layer := graniteknot.Layer(l)
	out := layerChange{layer: l, moves: []Move{{Layer: layer, Expert: e, To: graniteknot.Rank(c.other), Slot: c.j}}}
	if !c.replicate {
		out.moves = append(out.moves, Move{Layer: layer, Expert: f, To: graniteknot.Rank(c.hot), Slot: c.i})
	}
	return out
}

// batches orders changes so that those of one layer keep their order, each in
// a batch of its own, and no rank stages more than it has room for.
func (p *Planner) batches(changes []layerChange) []Batch {
	var out []Batch
	staged := []map[graniteknot.Rank]int{}
	last := make([]int, p.Shape.Layers)
	for _, c := range changes {
		at := last[c.layer]
		for ; ; at++ {
			if at == len(out) {
				out = append(out, Batch{})
				staged = append(staged, map[graniteknot.Rank]int{})
			}
			if p.fits(staged[at], c.moves) {
				break
			}
		}
		for _, m := range c.moves {
			staged[at][m.To]++
		}
		out[at].Moves = append(out[at].Moves, c.moves...)
		last[c.layer] = at + 1
	}
	return slices.DeleteFunc(out, func(b Batch) bool { return len(b.Moves) == 0 })
}

func (p *Planner) fits(staged map[graniteknot.Rank]int, moves []Move) bool {
	limit := orDefault(p.StagingSlots, DefaultStagingSlots)
	for _, m := range moves {
		if staged[m.To] >= limit {
			return false
		}
	}
	return true
}

func orDefault[T int | float64](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}
