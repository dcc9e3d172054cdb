package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// SetWarmupRates applies the warm-up rates of a configuration that came into force. Replica records
// do not contain them, and may have been read before the configuration.
func (t *Table) SetWarmupRates(rate func(graniteknot.Service) float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.targets {
		r := x.replica
		r.WarmupRate = rate(r.Service)
		if r.WarmupRate == x.replica.WarmupRate {
			continue
		}
		t.updateWarmup(x, &r, now)
		x.replica.WarmupRate = r.WarmupRate
		// The time that the record stated counts from when it was read.
		left := r.Warmup - now.Sub(x.registered)
		if known := x.life != nil && x.life.limit.warming(); left > 0 && !known {
			r.Warmup = left
			t.setWarmup(x, &r, now, now)
		}
	}
}
