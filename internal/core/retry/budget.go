// Package retry bounds retries as a share of first attempts, so that a
// failing pool is not buried under them. Which failures may be retried is left
// to package relay.
package retry

import "sync"

// The part of the budget that does not depend on traffic.
const (
	// burst is what the budget holds at most, in retries.
	burst = 50
	// initial is what a new budget holds, so that a quiet entry can retry.
	initial = 5
)

// Budget is a bucket that first attempts fill and retries empty. The zero
// value allows only the initial retries; set Percent.
type Budget struct {
	// Percent is how many retries a hundred first attempts allow.
	Percent func() int64
	// Burst is what the budget holds at most, in retries, and half of which a
	// new one holds; nil is the package's own figures.
	Burst func() float64
	// Unlimited allows every retry, for the baseline of benchmarks.
	Unlimited bool

	mu    sync.Mutex
	begun bool
	// held is how many retries are allowed now, from 0 to burst.
	held float64
	// spent and denied count the answers of Spend.
	spent, denied uint64
}

// RecordFirstAttempt notes a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.Percent != nil {
		b.held = min(b.most(), b.held+float64(b.Percent())/100)
	}
}

// Available tells whether a retry would be allowed now.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	return b.Unlimited || b.held >= 1
}

// Withdraw asks for one retry.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.Unlimited {
		b.spent++
		return true
	}
	if b.held < 1 {
		b.denied++
		return false
	}
	b.held--
	b.spent++
	return true
}

func (b *Budget) start() {
	if !b.begun {
		b.begun = true
		b.held = initial
		if b.Burst != nil {
			b.held = b.Burst() / 2
		}
	}
}

// most is what the budget holds at most.
func (b *Budget) most() float64 {
	if b.Burst != nil {
		return b.Burst()
	}
	return burst
}

// Counts returns how many retries were allowed and denied.
func (b *Budget) Counts() (spent, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}
