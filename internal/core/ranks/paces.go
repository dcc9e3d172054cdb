package ranks

import (
	"log/slog"
	"slices"
)

// minSlowPace is the pace, relative to the fastest rank, from which a rank's load is
// reduced. With less, experts would move back and forth.
const minSlowPace = 1.2

// updatePaces updates the ranks' relative paces. In a lock-step group all ranks wait for a
// slow one. It is not overloaded, but has to get less load than the others.
func (c *Coordinator) updatePaces(snapshots []snapshot) {
	paces := relativePaces(snapshots)
	if slices.Equal(paces, c.paces) {
		return
	}
	c.paces = paces
	highest, slowest := 1.0, -1
	for r, p := range paces {
		if p > highest {
			highest, slowest = p, r
		}
	}
	c.Log.Info("slow ranks", slog.Int("slowest", slowest), slog.Float64("times", highest), slog.Int64("epoch", int64(c.epoch)))
}

// relativePaces returns each rank's pass time relative to the fastest; nil when none is
// slow.
func relativePaces(snapshots []snapshot) []float64 {
	fastest := 0.0
	for i := range snapshots {
		if p := snapshots[i].pace; p > 0 && (fastest == 0 || p < fastest) {
			fastest = p
		}
	}
	out := make([]float64, len(snapshots))
	slow := false
	for i := range snapshots {
		out[i] = 1
		if fastest > 0 && snapshots[i].pace >= minSlowPace*fastest {
			out[i], slow = snapshots[i].pace/fastest, true
		}
	}
	if !slow {
		return nil
	}
	return out
}
