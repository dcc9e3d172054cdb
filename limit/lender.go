package limit

import (
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// floorShare is the part of a limit that all processes' floors have
	// together.
	floorShare = 0.05
	// askAhead is how much of a limit a process asks for at once.
	askAhead = 50 * time.Millisecond
	// lapse is how long a lent amount that is not used is kept.
	lapse = time.Second
)

// Amount is a part of an account's limits.
type Amount struct {
	Requests, Tokens float64
}

// Rates are an account's limits; 0 for none.
type Rates struct {
	Requests, Tokens float64
	// Concurrent is held by each process for itself.
	Concurrent int64
	// Processes is how many there are, and AliveProcesses how many of them the process
	// sees alive, itself included.
	Processes, AliveProcesses int64
}

// lendable is the part of a rate that the home may lend.
func (r Rates) lendable(rate float64) float64 {
	all := float64(max(r.Processes, 1))
	return rate * (1 - floorShare) * min(1, float64(max(r.AliveProcesses, 1))/all)
}

// floor is the part of a rate that each process has of its own.
func (r Rates) floor(rate float64) float64 {
	return rate * floorShare / float64(max(r.Processes, 1))
}

// AccountName is an account of a partner.
type AccountName struct {
	Partner graniteknot.Partner
	Account graniteknot.Account
}

// Lender is the home of accounts. The zero value works.
type Lender struct {
	mu    sync.Mutex
	homes map[AccountName]*home
	swept time.Time
}

// home is what a lender keeps of one account.
type home struct {
	requests, tokens Bucket
	used             time.Time
}

// Lend gives at most what is asked for of an account's limits. A new home lends
// at once: what a former one lent and was not used yet is at most askAhead of
// the limit for each process.
func (l *Lender) Lend(now time.Time, name AccountName, r Rates, want Amount) Amount {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.home(now, name)
	h.used = now
	return Amount{
		Requests: h.requests.TakeUpTo(now, r.lendable(r.Requests), want.Requests),
		Tokens:   h.tokens.TakeWithDebt(now, r.lendable(r.Tokens), want.Tokens),
	}
}

func (l *Lender) home(now time.Time, name AccountName) *home {
	if l.homes == nil {
		l.homes = map[AccountName]*home{}
		l.swept = now
	}
	if now.Sub(l.swept) > idleTime {
		l.sweep(now)
	}
	h, ok := l.homes[name]
	if !ok {
		h = &home{}
		l.homes[name] = h
	}
	return h
}

func (l *Lender) sweep(now time.Time) {
	l.swept = now
	for name, h := range l.homes {
		if now.Sub(h.used) > idleTime {
			delete(l.homes, name)
		}
	}
}
