package forward

import (
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/retry"
)

// RetryBudgets holds this process's part of each service's retry budget. The zero
// value allows no retries; set Percent and Burst.
type RetryBudgets struct {
	// Percent is how many retries a hundred first attempts allow.
	Percent func() int64
	// Burst is how many retries may be saved up.
	Burst func() float64

	mu       sync.Mutex
	services map[graniteknot.Service]*retry.Budget
}

// RecordFirstAttempt notes a first attempt.
func (b *RetryBudgets) RecordFirstAttempt(s graniteknot.Service) { b.of(s).RecordFirstAttempt() }

// Available tells whether a retry would be allowed now.
func (b *RetryBudgets) Available(s graniteknot.Service) bool { return b.of(s).Available() }

// Withdraw asks for one retry.
func (b *RetryBudgets) Withdraw(s graniteknot.Service) bool { return b.of(s).Withdraw() }

func (b *RetryBudgets) of(s graniteknot.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[graniteknot.Service]*retry.Budget{}
	}
	found := b.services[s]
	if found == nil {
		burst := b.Burst
		if burst == nil {
			burst = func() float64 { return 0 }
		}
		found = &retry.Budget{Percent: b.Percent, Burst: burst}
		b.services[s] = found
	}
	return found
}
