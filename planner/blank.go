package planner

import graniteknot "graniteknot.org/go"

// EmptySlot marks a slot that holds no expert.
const EmptySlot graniteknot.Expert = -1

// NewRoundRobin deals the experts out in turn, once each; what is over stays blank.
func NewRoundRobin(s Shape) *Placement {
	p := &Placement{Shape: s, slots: make([]graniteknot.Expert, s.Layers*s.Ranks*s.Slots)}
	for i := range p.slots {
		p.slots[i] = EmptySlot
	}
	for l := range s.Layers {
		slots := p.layer(l)
		for e := range s.Experts {
			slots[(e%s.Ranks)*s.Slots+e/s.Ranks] = graniteknot.Expert(e)
		}
	}
	return p
}

// SetExperts puts experts into a rank's slots of a layer; what is over is left blank.
func (p *Placement) SetExperts(l graniteknot.Layer, r graniteknot.Rank, experts []graniteknot.Expert) {
	slots := p.layer(int(l))[int(r)*p.Shape.Slots : (int(r)+1)*p.Shape.Slots]
	for i := range slots {
		slots[i] = EmptySlot
		if i < len(experts) {
			slots[i] = experts[i]
		}
	}
}
