package planner

import (
	"math"

	graniteknot "graniteknot.org/go"
)

// Shape is the size of a group's model.
type Shape struct {
	Layers, Experts, Ranks int
	// Slots is how many experts of one layer a rank holds. Ranks times Slots is
	// at least Experts; what is over is for replicas.
	Slots int
}

// LayerLoad is the tokens of each expert of one layer.
type LayerLoad []float64

// Loads is the tokens of each layer's experts.
type Loads []LayerLoad

// Total is the tokens of all experts.
func (l Loads) Total() float64 {
	sum := 0.0
	for i := range l {
		sum += l[i].mean(1)
	}
	return sum
}

// Distance is the part of all tokens, from 0 to 1, that went to other experts than
// in other loads; layers without tokens do not count.
func (l Loads) Distance(other Loads) float64 {
	sum, layers := 0.0, 0
	for i := range l {
		a, b := l[i].mean(1), other[i].mean(1)
		if a == 0 || b == 0 {
			continue
		}
		layers++
		for e := range l[i] {
			sum += math.Abs(l[i][e]/a - other[i][e]/b)
		}
	}
	if layers == 0 {
		return 0
	}
	const twice = 2 // What one expert has more, another has less.
	return sum / twice / float64(layers)
}

// NewLoads returns loads of zero.
func NewLoads(s Shape) Loads {
	out := make(Loads, s.Layers)
	for l := range out {
		out[l] = make(LayerLoad, s.Experts)
	}
	return out
}

// mean is the mean rank load of a layer.
func (l LayerLoad) mean(ranks int) float64 {
	sum := 0.0
	for _, v := range l {
		sum += v
	}
	return sum / float64(ranks)
}

// Placement says which experts each rank holds. It always holds every expert
// at least once, and none twice on one rank.
type Placement struct {
	Shape Shape
	// slots is ordered by layer, rank and slot.
	slots []graniteknot.Expert
}

// NewPlacement spreads the experts in order; what is over goes to replicas of
// the first ones.
func NewPlacement(s Shape) *Placement {
	p := &Placement{Shape: s, slots: make([]graniteknot.Expert, s.Layers*s.Ranks*s.Slots)}
	for l := range s.Layers {
		p.spread(l)
	}
	return p
}

// spread gives each expert of a layer, and then replicas of the first ones, to
// the next rank that has room and does not hold it yet.
func (p *Placement) spread(l int) {
	s := p.Shape
	fill := make([]int, s.Ranks)
	for i := range s.Ranks * s.Slots {
		e := graniteknot.Expert(i % s.Experts)
		for try := range s.Ranks {
			r := (i + i/s.Experts + try) % s.Ranks
			own := p.layer(l)[r*s.Slots : (r+1)*s.Slots]
			if fill[r] < s.Slots && !contains(own[:fill[r]], e) {
				own[fill[r]] = e
				fill[r]++
				break
			}
		}
	}
}

// Clone returns a copy.
func (p *Placement) Clone() *Placement {
	return &Placement{Shape: p.Shape, slots: append([]graniteknot.Expert(nil), p.slots...)}
}

func (p *Placement) layer(l int) []graniteknot.Expert {
	n := p.Shape.Ranks * p.Shape.Slots
	return p.slots[l*n : (l+1)*n]
}

// Experts returns the experts that a rank holds of a layer. It must not be
// changed.
func (p *Placement) Experts(l graniteknot.Layer, r graniteknot.Rank) []graniteknot.Expert {
	return p.layer(int(l))[int(r)*p.Shape.Slots : (int(r)+1)*p.Shape.Slots]
}

// Apply makes the moves of a batch.
func (p *Placement) Apply(b Batch) {
	for _, m := range b.Moves {
		p.layer(int(m.Layer))[int(m.To)*p.Shape.Slots+m.Slot] = m.Expert
	}
}

// Skew returns the sum over layers of the largest rank load, over the sum of
// the mean ones.
func (p *Placement) Skew(loads Loads) float64 { return p.skew(loads, nil) }

// TimeSkew is Skew by how long the ranks take, each so many times slower than a
// healthy one; nil paces are all healthy.
func (p *Placement) TimeSkew(loads Loads, paces []float64) float64 { return p.skew(loads, paces) }

// skew is Skew with the loads weighed by how slow the ranks are.
func (p *Placement) skew(loads Loads, pace []float64) float64 {
	var most, mean float64
	w := work{pace: pace}
	for l := range loads {
		w.reset(p.Shape, p.layer(l), loads[l])
		most += w.max()
		mean += loads[l].mean(p.Shape.Ranks)
	}
	if mean == 0 {
		return 1
	}
	return most / mean
}

// MovesFrom counts the experts that ranks of p hold and those of the other
// placement do not.
func (p *Placement) MovesFrom(from *Placement) int {
	n := 0
	for l := range p.Shape.Layers {
		for r := range p.Shape.Ranks {
			had := from.Experts(graniteknot.Layer(l), graniteknot.Rank(r))
			for _, e := range p.Experts(graniteknot.Layer(l), graniteknot.Rank(r)) {
				if !contains(had, e) {
					n++
				}
			}
		}
	}
	return n
}

func contains(list []graniteknot.Expert, e graniteknot.Expert) bool {
	for _, v := range list {
		if v == e {
			return true
		}
	}
	return false
}
