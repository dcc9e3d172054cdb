package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/quota"
)

// TestLimitsAreUsed simulates gateways in front of replicas of which some have a limit: no
// replica gets more than it may in any 4 s, most of each limit is used where demand exceeds
// it, and no request is refused while a replica without a limit has capacity.
func TestLimitsAreUsed(t *testing.T) {
	for _, c := range []struct {
		gateways, active, replicas int
		interval                   time.Duration
		limits                     []quota.Rate
		minUsed                    float64
	}{
		{7, 7, 4, time.Second / 42, []quota.Rate{1.1, 1}, 0.85},
		{7, 7, 4, time.Second / 28, []quota.Rate{2, 2, 2, 2}, 0.85},
		{7, 1, 4, time.Second / 40, []quota.Rate{4, 4, 4, 4}, 0.7},
		{40, 40, 5, time.Second / 80, []quota.Rate{1, 2, 3}, 0.85},
	} {
		t.Run(fmt.Sprint(c.gateways, " gateways, ", c.limits), func(t *testing.T) {
			var ids []string
			limits := map[string]quota.Rate{}
			for i := range c.replicas {
				id := string(rune('a' + i))
				ids = append(ids, id)
				if i < len(c.limits) {
					limits[id] = c.limits[i]
				}
			}
			g := newGatewayFleet(c.gateways, ids...)
			g.active, g.interval = c.active, c.interval
			began := g.now
			const duration, startup, window = 40 * time.Second, 2 * time.Second, 4 * time.Second
			for g.now.Sub(began) < duration {
				g.request(func(id string) fleet.Feedback {
					rate, limited := limits[id]
					return fleet.Feedback{Answered: true, Unlimited: !limited, Limit: quota.StatedLimit{Present: limited, Rate: rate}}
				})
			}
			for id, rate := range limits {
				times := g.arrivalTimes[id]
				if most, allowed := maxInWindow(times, began.Add(startup), window), 1.5*float64(rate)*window.Seconds()+5; float64(most) > allowed {
					t.Errorf("%s, limit %g a second: %d requests in %v, at most %g allowed", id, rate, most, window, allowed)
				}
				used := float64(len(times)) / float64(rate) / duration.Seconds()
				if used < c.minUsed {
					t.Errorf("%s, limit %g a second: share %.2f used, want %g", id, rate, used, c.minUsed)
				}
			}
			if g.refused > 0 && len(c.limits) < c.replicas {
				t.Errorf("%d refused while other replicas have capacity", g.refused)
			}
		})
	}
}

// maxInWindow returns the largest number of times in any window that begins at from or later.
func maxInWindow(times []time.Time, from time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window || times[first].Before(from) && first < i {
			first++
		}
		if !times[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}
