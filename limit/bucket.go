package limit

import "time"

// burstTime is how much of a rate may be saved up; one unit at least.
const burstTime = 250 * time.Millisecond

// Bucket is a rate with a small burst. The zero value is empty. It is not safe
// for use by several goroutines.
type Bucket struct {
	// held is what may be taken now; less than zero while in debt.
	held  float64
	since time.Time
}

// TakeUpTo takes at most an amount at a rate per second.
func (b *Bucket) TakeUpTo(now time.Time, rate, amount float64) float64 {
	b.fill(now, rate)
	got := max(0, min(b.held, amount))
	b.held -= got
	return got
}

// TakeWithDebt takes an amount that may be larger than the burst as soon as
// there is anything; what a bucket is below zero is made up for before the next.
func (b *Bucket) TakeWithDebt(now time.Time, rate, amount float64) float64 {
	b.fill(now, rate)
	if b.held <= 0 {
		return 0
	}
	b.held -= amount
	return amount
}

// Take takes an amount at a rate per second, or nothing.
func (b *Bucket) Take(now time.Time, rate, amount float64) bool {
	b.fill(now, rate)
	if b.held < amount {
		return false
	}
	b.held -= amount
	return true
}

func (b *Bucket) fill(now time.Time, rate float64) {
	if b.since.IsZero() {
		b.since = now
		b.held = 1
	}
	if passed := now.Sub(b.since); passed > 0 {
		b.held = min(max(1, rate*burstTime.Seconds()), b.held+rate*passed.Seconds())
		b.since = now
	}
}
