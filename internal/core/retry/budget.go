// Package retry limits retries to a share of first attempts, so that retries
// do not overload a failing pool. Its users decide which failures may be retried.
package retry

import "sync"

// Token counts that apply when Burst is nil.
const (
	// defaultBurst is the capacity.
	defaultBurst = 50
	// defaultInitialTokens lets a process with little traffic retry, too.
	defaultInitialTokens = 5
)

// Budget is a token bucket: first attempts add tokens, and each retry takes one.
// The zero value allows only the initial retries; set Percent.
type Budget struct {
	// Percent is how many retries are allowed per 100 first attempts.
	Percent func() int64
	// Burst is the capacity in tokens, of which a new budget holds half; nil
	// selects the defaults.
	Burst func() float64
	// Unlimited allows every retry; benchmarks use it as their baseline.
	Unlimited bool

	mu          sync.Mutex
	initialized bool
	// tokens is how many retries are allowed now, from 0 to the capacity.
	tokens float64
	// allowed and denied count the results of Withdraw.
	allowed, denied uint64
}

// RecordFirstAttempt adds the share of a token that one first attempt earns.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.Percent != nil {
		b.tokens = min(b.capacity(), b.tokens+float64(b.Percent())/100)
	}
}

// Available reports whether a retry would be allowed now.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	return b.Unlimited || b.tokens >= 1
}

// reservedShare is the part of the capacity that retries of failures alone may use.
const reservedShare = 0.25

// Plentiful reports whether an attempt that no failure calls for would be allowed now.
func (b *Budget) Plentiful() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	return b.Unlimited || b.tokens >= 1+reservedShare*b.capacity()
}

// Withdraw takes the token of one retry; false if there is none.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.Unlimited {
		b.allowed++
		return true
	}
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.allowed++
	return true
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.tokens = defaultInitialTokens
		if b.Burst != nil {
			b.tokens = b.Burst() / 2
		}
	}
}

// capacity is the greatest number of tokens that the budget holds.
func (b *Budget) capacity() float64 {
	if b.Burst != nil {
		return b.Burst()
	}
	return defaultBurst
}

// Counts returns how many retries were allowed and denied.
func (b *Budget) Counts() (allowed, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowed, b.denied
}
