package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"graniteknot.org/go/internal/core/quota"
)

const (
	lasting = 60 * time.Second
	warm    = 3 * time.Second
)

// sizes are the numbers of boxes that are played: the smaller ones with the race detector, under
// which the others take minutes and show nothing more.
func sizes() []int {
	if testing.Short() {
		return []int{7, 42}
	}
	return []int{7, 42, 149, 370}
}

// TestSumHolds plays boxes and limits, demand that is even, at one box, or moving each
// second, and what can happen to a home and to messages.
func TestSumHolds(t *testing.T) {
	for _, boxes := range sizes() {
		for _, limit := range []quota.Rate{0.3, 1, 10, 100} {
			for name, fault := range faults {
				t.Run(fmt.Sprintf("%d boxes, %g a second, %s", boxes, limit, name), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(3) {
						p := newPlay(seed, boxes, limit, dealt)
						p.demand(max(80, 3*float64(limit)), p.even)
						fault(p)
						p.run(lasting)
						worst, may := p.worst(warm)
						t.Logf("seed %d: %d in %v, %g may come", seed, worst, window, may)
						if float64(worst) > may {
							t.Errorf("seed %d: too many", seed)
						}
						if used := p.used(warm, lasting); name == "home killed" && boxes <= 42 && used < 0.5 {
							t.Errorf("seed %d: %.2f used while homes end", seed, used)
						}
					}
				})
			}
		}
	}
}

func (p *play) even() int { return p.rng.IntN(len(p.boxes)) }

func (p *play) one() int { return 1 }

func (p *play) moving() int { return int(p.now.Sub(began)/time.Second) % len(p.boxes) }

// faults are what happens to homes and messages; box 0 is the home.
var faults = map[string]func(p *play){
	"nothing": func(*play) {},
	"lost, late and doubled": func(p *play) {
		p.loss, p.doubled = 0.2, 0.3
	},
	"home killed": func(p *play) {
		p.at(20*time.Second, func() { p.kill(0, 1) })
		p.at(40*time.Second, func() { p.kill(1, 0) })
	},
	"home frozen": func(p *play) {
		p.at(20*time.Second, func() {
			p.boxes[0].frozen = p.now.Add(4 * time.Second)
			p.follow(1)
			p.after(4*time.Second, func() { p.follow(0) })
		})
	},
	"two homes for a moment": func(p *play) {
		for _, at := range []time.Duration{15 * time.Second, 30 * time.Second, 45 * time.Second} {
			p.at(at, func() {
				for _, b := range p.boxes[len(p.boxes)/2:] {
					b.believes = 1 - b.believes
				}
				p.after(1500*time.Millisecond, func() {
					for _, b := range p.boxes {
						b.believes = 0
					}
				})
			})
		}
	},
	"boxes started in series": func(p *play) {
		for i := range p.boxes {
			p.at(5*time.Second+time.Duration(i)*200*time.Millisecond, func() { p.boxes[i].part = quota.Part{}; p.boxes[i].part.Limit(p.limit) })
		}
	},
}

// kill ends a home; the others find out within some time and ask the next one.
func (p *play) kill(home, next int) {
	p.boxes[home].down = true
	p.follow(next)
	p.after(time.Second, func() {
		b := p.boxes[home]
		b.down, b.home, b.part = false, quota.Home{}, quota.Part{}
		b.part.Limit(p.limit)
	})
}

func (p *play) follow(home int) {
	for _, b := range p.boxes {
		p.after(1100*time.Millisecond+time.Duration(p.rng.Float64()*400*float64(time.Millisecond)), func() { b.believes = home })
	}
}

// leastUsed is the part of a limit that has to be used. Where demand is even, a box that has a
// request less often than permits are valid lets some of them lapse.
func leastUsed(demand string, boxes, limit float64) float64 {
	if demand == "one" {
		return 0.85
	}
	if demand == "moving" {
		return 0.6
	}
	perBox, valid := max(80, 3*limit)/boxes, 0.9+4/limit
	if perBox*valid > 3 {
		return 0.85
	}
	return 0.8 * (1 - math.Exp(-perBox*valid))
}

// TestPartsFollowDemand expects most of a limit to be used where more is asked, wherever.
func TestPartsFollowDemand(t *testing.T) {
	for _, boxes := range sizes() {
		for _, limit := range []quota.Rate{0.3, 1, 10, 100} {
			for _, name := range []string{"even", "one", "moving"} {
				t.Run(fmt.Sprintf("%d boxes, %g a second, %s", boxes, limit, name), func(t *testing.T) {
					t.Parallel()
					p := newPlay(1, boxes, limit, dealt)
					choose := map[string]func() int{"even": p.even, "one": p.one, "moving": p.moving}[name]
					p.demand(max(80, 3*float64(limit)), choose)
					p.run(lasting)
					worst, may := p.worst(warm)
					used := p.used(warm, lasting)
					t.Logf("used %.2f, worst %d of %g, %d bytes a second into the home, %.1f messages a second", used, worst, may,
						p.into[0]/int(lasting.Seconds()), float64(p.messages)/lasting.Seconds())
					if least := leastUsed(name, float64(boxes), float64(limit)); used < least {
						t.Errorf("%.2f of the limit used, %.2f wanted", used, least)
					}
				})
			}
		}
	}
}
