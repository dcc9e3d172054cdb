package limit

import (
	"sync"
	"time"
)

// idleTime is how long an unused account is kept. A bucket is full again long
// before.
const idleTime = time.Minute

// Accounts holds the accounts that were used lately. The zero value works.
type Accounts struct {
	mu    sync.Mutex
	table map[AccountName]*Account
	swept time.Time
}

// Get returns an account.
func (t *Accounts) Get(name AccountName, now time.Time) *Account {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table == nil {
		t.table = map[AccountName]*Account{}
		t.swept = now
	}
	if now.Sub(t.swept) > idleTime {
		t.sweep(now)
	}
	a, ok := t.table[name]
	if !ok {
		a = &Account{used: now}
		t.table[name] = a
	}
	return a
}

func (t *Accounts) sweep(now time.Time) {
	t.swept = now
	for name, a := range t.table {
		if a.IdleSince(now.Add(-idleTime)) {
			delete(t.table, name)
		}
	}
}

// Len returns how many accounts are held.
func (t *Accounts) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.table)
}
