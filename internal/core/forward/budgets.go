package forward

import (
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/retry"
)

// RetryBudgets holds this process's retry budget for each service. The zero value
// allows no retries; set Percent and Burst.
type RetryBudgets struct {
	// Percent is how many retries are allowed per 100 first attempts.
	Percent func() int64
	// Burst is the capacity of each budget in retries.
	Burst func() float64

	mu      sync.Mutex
	budgets map[graniteknot.Service]*retry.Budget
}

// RecordFirstAttempt adds the share of a retry that one first attempt earns.
func (b *RetryBudgets) RecordFirstAttempt(s graniteknot.Service) { b.budget(s).RecordFirstAttempt() }

// Available reports whether a retry would be allowed now.
func (b *RetryBudgets) Available(s graniteknot.Service) bool { return b.budget(s).Available() }

// Plentiful reports whether an attempt that no failure calls for would be allowed now.
func (b *RetryBudgets) Plentiful(s graniteknot.Service) bool { return b.budget(s).Plentiful() }

// Withdraw takes one retry from the budget; false if there is none.
func (b *RetryBudgets) Withdraw(s graniteknot.Service) bool { return b.budget(s).Withdraw() }

func (b *RetryBudgets) budget(s graniteknot.Service) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budgets == nil {
		b.budgets = map[graniteknot.Service]*retry.Budget{}
	}
	found := b.budgets[s]
	if found == nil {
		burst := b.Burst
		if burst == nil {
			burst = func() float64 { return 0 }
		}
		found = &retry.Budget{Percent: b.Percent, Burst: burst}
		b.budgets[s] = found
	}
	return found
}
