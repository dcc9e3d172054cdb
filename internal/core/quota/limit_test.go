package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"graniteknot.org/go/internal/core/quota"
)

const (
	duration = 60 * time.Second
	warmUp   = 3 * time.Second
)

// boxCounts returns the numbers of boxes to simulate. With -short, as under the race detector, it
// leaves out the larger ones, which take minutes there and find nothing more.
func boxCounts() []int {
	if testing.Short() {
		return []int{7, 42}
	}
	return []int{7, 42, 149, 370}
}

// TestLimitHoldsUnderFaults checks that no window sees more requests than allowed while messages
// are lost, late or duplicate, and while the owner restarts, freezes or changes.
func TestLimitHoldsUnderFaults(t *testing.T) {
	for _, boxes := range boxCounts() {
		for _, limit := range []quota.Rate{0.3, 1, 10, 100} {
			for name, fault := range faults {
				t.Run(fmt.Sprintf("%d boxes, %g a second, %s", boxes, limit, name), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(3) {
						s := newSimulation(seed, boxes, limit, ownerPermits)
						s.generate(max(80, 3*float64(limit)), s.evenBox)
						fault(s)
						s.run(duration)
						worst, bound := s.maxInWindow(warmUp)
						t.Logf("seed %d: %d requests in %v, %g allowed", seed, worst, window, bound)
						if float64(worst) > bound {
							t.Errorf("seed %d: more requests than allowed", seed)
						}
						if used := s.utilization(warmUp, duration); name == "owner restarts" && boxes <= 42 && used < 0.5 {
							t.Errorf("seed %d: only %.2f of the limit used while owners restart", seed, used)
						}
					}
				})
			}
		}
	}
}

func (s *simulation) evenBox() int { return s.rng.IntN(len(s.boxes)) }

func (s *simulation) oneBox() int { return 1 }

func (s *simulation) movingBox() int { return int(s.now.Sub(start)/time.Second) % len(s.boxes) }

// faults are the events to simulate; box 0 is the owner at first.
var faults = map[string]func(s *simulation){
	"no fault": func(*simulation) {},
	"lost, late and duplicate messages": func(s *simulation) {
		s.loss, s.duplication = 0.2, 0.3
	},
	"owner restarts": func(s *simulation) {
		s.scheduleAt(20*time.Second, func() { s.restart(0, 1) })
		s.scheduleAt(40*time.Second, func() { s.restart(1, 0) })
	},
	"owner frozen": func(s *simulation) {
		s.scheduleAt(20*time.Second, func() {
			s.boxes[0].frozenUntil = s.now.Add(4 * time.Second)
			s.switchOwner(1)
			s.schedule(4*time.Second, func() { s.switchOwner(0) })
		})
	},
	"two owners for 1.5 s": func(s *simulation) {
		for _, at := range []time.Duration{15 * time.Second, 30 * time.Second, 45 * time.Second} {
			s.scheduleAt(at, func() {
				for _, b := range s.boxes[len(s.boxes)/2:] {
					b.owner = 1 - b.owner
				}
				s.schedule(1500*time.Millisecond, func() {
					for _, b := range s.boxes {
						b.owner = 0
					}
				})
			})
		}
	},
	"boxes restarted one by one": func(s *simulation) {
		for i := range s.boxes {
			s.scheduleAt(5*time.Second+time.Duration(i)*200*time.Millisecond, func() { s.boxes[i].allocation = quota.Allocation{}; s.boxes[i].allocation.SetLimit(s.limit) })
		}
	},
}

// restart restarts an owner. The other boxes notice its end after 1.1 s to 1.5 s and then ask the
// next one.
func (s *simulation) restart(owner, next int) {
	s.boxes[owner].down = true
	s.switchOwner(next)
	s.schedule(time.Second, func() {
		b := s.boxes[owner]
		b.down, b.allocator, b.allocation = false, quota.Allocator{}, quota.Allocation{}
		b.allocation.SetLimit(s.limit)
	})
}

// switchOwner makes each box take another one for the owner, after 1.1 s to 1.5 s.
func (s *simulation) switchOwner(owner int) {
	for _, b := range s.boxes {
		s.schedule(1100*time.Millisecond+time.Duration(s.rng.Float64()*400*float64(time.Millisecond)), func() { b.owner = owner })
	}
}

// minUtilization returns the share of a limit that has to be used. Where demand is even, a box
// that has requests less often than permits expire leaves some of them unused.
func minUtilization(demand string, boxes, limit float64) float64 {
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

// TestAllocationsFollowDemand checks that most of a limit is used when demand exceeds it, whether
// it comes from all boxes, from one, or from another one each second.
func TestAllocationsFollowDemand(t *testing.T) {
	for _, boxes := range boxCounts() {
		for _, limit := range []quota.Rate{0.3, 1, 10, 100} {
			for _, name := range []string{"even", "one", "moving"} {
				t.Run(fmt.Sprintf("%d boxes, %g a second, %s", boxes, limit, name), func(t *testing.T) {
					t.Parallel()
					s := newSimulation(1, boxes, limit, ownerPermits)
					choose := map[string]func() int{"even": s.evenBox, "one": s.oneBox, "moving": s.movingBox}[name]
					s.generate(max(80, 3*float64(limit)), choose)
					s.run(duration)
					worst, bound := s.maxInWindow(warmUp)
					used := s.utilization(warmUp, duration)
					t.Logf("used %.2f, worst %d of %g allowed, %d bytes a second received by the owner, %.1f messages a second", used, worst, bound,
						s.bytesReceived[0]/int(duration.Seconds()), float64(s.messages)/duration.Seconds())
					if least := minUtilization(name, float64(boxes), float64(limit)); used < least {
						t.Errorf("%.2f of the limit used, want at least %.2f", used, least)
					}
				})
			}
		}
	}
}
