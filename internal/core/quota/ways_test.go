package quota_test

import (
	"testing"
	"time"

	"graniteknot.org/go/internal/core/quota"
)

// equal is compared with it: each box has the same part, and saves up at most one request.
func equal(p *play, b *player) bool {
	rate := 0.88 * float64(p.limit) / float64(len(p.boxes))
	if b.filled.IsZero() {
		b.filled, b.tokens = p.now, p.rng.Float64()
	}
	b.tokens = min(1, b.tokens+rate*p.now.Sub(b.filled).Seconds())
	b.filled = p.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// thinned is the other one: each box sends each request with the same chance, by how many all
// together had in the time before some 0.4 s ago, when they told each other.
func thinned(told *float64) way {
	return func(p *play, _ *player) bool { return p.rng.Float64() < 0.88*float64(p.limit)/max(*told, 0.1) }
}

// TestWaysCompared plays the three ways with the same demand. Equal parts leave most unused where
// few boxes are asked, and pass the limit where many that have saved up are asked at once; chance
// passes it where demand jumps, by as long as others do not know. Permits do neither.
func TestWaysCompared(t *testing.T) {
	for _, boxes := range sizes() {
		for _, limit := range []quota.Rate{0.3, 1, 10, 100} {
			for _, demand := range []string{"even", "one", "jumping"} {
				for name, w := range map[string]func(p *play) way{
					"equal": func(*play) way { return equal }, "chance": chance, "permits": func(*play) way { return dealt },
				} {
					worst, may, used := 0, 0.0, 0.0
					for seed := range uint64(3) {
						p := newPlay(seed, boxes, limit, nil)
						p.way = w(p)
						p.come(demand)
						p.run(lasting)
						most, bound := p.worst(warm)
						worst, may = max(worst, most), bound
						used += p.used(warm, lasting) / 3
					}
					t.Logf("%3d boxes, %5g a second, %-7s, %-7s: %3d of %g, %.2f used", boxes, limit, demand, name, worst, may, used)
					if name == "permits" && float64(worst) > may {
						t.Errorf("permits: %d in %v, %g may come", worst, window, may)
					}
				}
			}
		}
	}
}

// come has requests come: jumping is little, and eight times as much every ten seconds for one.
func (p *play) come(demand string) {
	rate := max(80, 3*float64(p.limit))
	switch demand {
	case "one":
		p.demand(rate, p.one)
	case "even":
		p.demand(rate, p.even)
	default:
		p.demand(rate/8, p.even)
		for at := 5 * time.Second; at < lasting; at += 10 * time.Second {
			p.at(at, func() {
				for range int(rate) {
					p.after(time.Duration(p.rng.Int64N(int64(time.Second))), func() { p.request(p.boxes[p.even()]) })
				}
			})
		}
	}
}

// chance is thinned by the demand of the last second, as of 0.4 s ago.
func chance(p *play) way {
	told, seen := 0.0, 0.0
	send := thinned(&told)
	var look func()
	look = func() {
		was := seen
		seen = 0
		p.after(400*time.Millisecond, func() { told = was })
		p.after(time.Second, look)
	}
	p.after(time.Second, look)
	return func(p *play, b *player) bool {
		seen++
		return send(p, b)
	}
}
