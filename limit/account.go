package limit

import (
	"sync"
	"time"
)

// BorrowFunc asks an account's home for a part of its limits. It returns false when
// the home can't be reached.
type BorrowFunc func(want Amount) (Amount, bool)

// Account is what one account uses at one process. The zero value works.
type Account struct {
	mu sync.Mutex
	// held is lent and not used yet; it lapses after borrowed.
	held     Amount
	borrowed time.Time
	// requests and tokens are the process's own floor.
	requests, tokens Bucket
	// open counts requests admitted and not released; never negative.
	open int64
	used time.Time
}

// Admit asks for one request of a size in tokens. If it is refused, it returns
// when to come back.
func (a *Account) Admit(now time.Time, r Rates, size float64, ask BorrowFunc) (time.Duration, bool) {
	const soon = 100 * time.Millisecond
	need := Amount{}
	if r.Requests > 0 {
		need.Requests = 1
	}
	if r.Tokens > 0 {
		need.Tokens = size
	}
	if !a.enter(now, r) {
		return soon, false
	}
	if a.spend(now, need) {
		return 0, true
	}
	lent, reached := ask(ahead(r, need))
	a.add(now, lent)
	if a.spend(now, need) || !reached && a.spendFloor(now, r, need) {
		return 0, true
	}
	a.Release()
	return wait(r, need), false
}

// ahead is how much to ask for: what is needed, and a little for the next.
func ahead(r Rates, need Amount) Amount {
	return Amount{
		Requests: max(need.Requests, r.Requests*askAhead.Seconds()),
		Tokens:   max(need.Tokens, r.Tokens*askAhead.Seconds()),
	}
}

// wait is how long the limits take to allow as much again.
func wait(r Rates, need Amount) time.Duration {
	seconds := 0.0
	if r.Requests > 0 {
		seconds = need.Requests / r.Requests
	}
	if r.Tokens > 0 {
		seconds = max(seconds, need.Tokens/r.Tokens)
	}
	return time.Duration(seconds * float64(time.Second))
}

// enter counts a request as open, within the concurrent ones.
func (a *Account) enter(now time.Time, r Rates) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used = now
	if r.Concurrent > 0 && a.open >= r.Concurrent {
		return false
	}
	a.open++
	return true
}

// spend uses what was lent.
func (a *Account) spend(now time.Time, need Amount) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.borrowed) > lapse {
		a.held = Amount{}
	}
	if a.held.Requests < need.Requests || a.held.Tokens < need.Tokens {
		return false
	}
	a.held.Requests -= need.Requests
	a.held.Tokens -= need.Tokens
	return true
}

func (a *Account) add(now time.Time, lent Amount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held.Requests += lent.Requests
	a.held.Tokens += lent.Tokens
	a.borrowed = now
}

// spendFloor uses the process's own part while no home is reached.
func (a *Account) spendFloor(now time.Time, r Rates, need Amount) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if need.Requests > 0 && !a.requests.Take(now, r.floor(r.Requests), need.Requests) {
		return false
	}
	return need.Tokens == 0 || a.tokens.TakeWithDebt(now, r.floor(r.Tokens), need.Tokens) > 0
}

// Release ends an admitted request.
func (a *Account) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
}

// IdleSince tells whether the account has nothing open and was not used since.
func (a *Account) IdleSince(since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open == 0 && a.used.Before(since)
}
