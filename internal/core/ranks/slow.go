package ranks

import (
	"log/slog"
	"slices"
)

// leastSlow is by how much slower than the fastest a rank has to be for its load
// to be taken off it. Below that its experts would move back and forth.
const leastSlow = 1.2

// slow takes in how slow the ranks tell they are. In a lock-step group all wait
// for a slow one, which is not overloaded: it needs less than the others.
func (k *Coordinator) slow(looks []seen) {
	paces := pacesOf(looks)
	if slices.Equal(paces, k.paces) {
		return
	}
	k.paces = paces
	most, slowest := 1.0, -1
	for r, p := range paces {
		if p > most {
			most, slowest = p, r
		}
	}
	k.Log.Info("slow ranks", slog.Int("slowest", slowest), slog.Float64("times", most), slog.Int64("epoch", int64(k.epoch)))
}

// pacesOf returns how many times slower than the fastest each rank is; nil when
// none is slow.
func pacesOf(looks []seen) []float64 {
	fastest := 0.0
	for i := range looks {
		if p := looks[i].pace; p > 0 && (fastest == 0 || p < fastest) {
			fastest = p
		}
	}
	out := make([]float64, len(looks))
	found := false
	for i := range looks {
		out[i] = 1
		if fastest > 0 && looks[i].pace >= leastSlow*fastest {
			out[i], found = looks[i].pace/fastest, true
		}
	}
	if !found {
		return nil
	}
	return out
}
