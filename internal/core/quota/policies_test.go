package quota_test

import (
	"testing"
	"time"

	"graniteknot.org/go/internal/core/quota"
)

// equalShares gives each box an equal share of the limit, with a token bucket of one request.
func equalShares(s *simulation, b *simulatedBox) bool {
	rate := 0.88 * float64(s.limit) / float64(len(s.boxes))
	if b.refilledAt.IsZero() {
		b.refilledAt, b.tokens = s.now, s.rng.Float64()
	}
	b.tokens = min(1, b.tokens+rate*s.now.Sub(b.refilledAt).Seconds())
	b.refilledAt = s.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// probabilistic sends each request with the same probability, computed from the demand of all
// boxes as they last exchanged it, 0.4 s late.
func probabilistic(demand *float64) policy {
	return func(s *simulation, _ *simulatedBox) bool {
		return s.rng.Float64() < 0.88*float64(s.limit)/max(*demand, 0.1)
	}
}

// TestPoliciesCompared runs three policies under the same demand. Equal shares leave most of the
// limit unused when few boxes have requests, and exceed it when many full buckets are used at
// once. The probabilistic policy exceeds it when demand jumps, until the other boxes know. Permits
// do neither.
func TestPoliciesCompared(t *testing.T) {
	for _, boxes := range boxCounts() {
		for _, limit := range []quota.Rate{0.3, 1, 10, 100} {
			for _, demand := range []string{"even", "one", "bursts"} {
				for name, newPolicy := range map[string]func(s *simulation) policy{
					"equal": func(*simulation) policy { return equalShares }, "random": delayedProbabilistic, "permits": func(*simulation) policy { return ownerPermits },
				} {
					worst, bound, used := 0, 0.0, 0.0
					for seed := range uint64(3) {
						s := newSimulation(seed, boxes, limit, nil)
						s.policy = newPolicy(s)
						s.generateDemand(demand)
						s.run(duration)
						most, allowed := s.maxInWindow(warmUp)
						worst, bound = max(worst, most), allowed
						used += s.utilization(warmUp, duration) / 3
					}
					t.Logf("%3d boxes, %5g a second, %-7s, %-7s: %3d of %g allowed, %.2f used", boxes, limit, demand, name, worst, bound, used)
					if name == "permits" && float64(worst) > bound {
						t.Errorf("permits: %d requests in %v, %g allowed", worst, window, bound)
					}
				}
			}
		}
	}
}

// generateDemand generates demand of a kind. Bursts are low demand with eight times as much on top
// for one second in every ten.
func (s *simulation) generateDemand(demand string) {
	rate := max(80, 3*float64(s.limit))
	switch demand {
	case "one":
		s.generate(rate, s.oneBox)
	case "even":
		s.generate(rate, s.evenBox)
	default:
		s.generate(rate/8, s.evenBox)
		for at := 5 * time.Second; at < duration; at += 10 * time.Second {
			s.scheduleAt(at, func() {
				for range int(rate) {
					s.schedule(time.Duration(s.rng.Int64N(int64(time.Second))), func() { s.request(s.boxes[s.evenBox()]) })
				}
			})
		}
	}
}

// delayedProbabilistic is probabilistic with the demand of the last second, known 0.4 s later.
func delayedProbabilistic(s *simulation) policy {
	demand, count := 0.0, 0.0
	send := probabilistic(&demand)
	var measure func()
	measure = func() {
		last := count
		count = 0
		s.schedule(400*time.Millisecond, func() { demand = last })
		s.schedule(time.Second, measure)
	}
	s.schedule(time.Second, measure)
	return func(s *simulation, b *simulatedBox) bool {
		count++
		return send(s, b)
	}
}
