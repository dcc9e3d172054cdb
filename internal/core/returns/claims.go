package returns

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxClaims bounds the claims held: 400 refusals a second over all gateways for 10 s.
	maxClaims = 4096
	// evictBatch is how many claims are evicted at a time, so that sorting them by age does not
	// burden each refusal.
	evictBatch = 256
	// transmissions is how often a gateway sends a change of a claim: a datagram may be lost.
	transmissions = 2
	// MaxPerMessage is how many claims a message carries.
	MaxPerMessage = 64
)

// Claims holds the promised returns of this gateway and of the others. The zero value is empty.
type Claims struct {
	mu sync.Mutex
	// held holds one claim for each identity. Redeemed claims stay until they end, so that a late
	// message does not open them again.
	held map[Identity]*heldClaim
	// counted holds the bookings that were counted last.
	counted map[Subject]*Bookings
}

// heldClaim is a claim with what is still to be sent of it.
type heldClaim struct {
	Claim

	// own is set for promises of this gateway.
	own bool
	// changedAt is when the claim was made or redeemed, as far as this gateway knows.
	changedAt time.Time
	// unsent is how often the claim is still to be sent in heartbeats; unrelayed is set if it is
	// to be forwarded by a relay.
	unsent    int
	unrelayed bool
}

// Promise records that a caller is refused, and replaces the open claim of its identity. choose
// returns what to tell, given the other promises, or false to promise nothing.
func (c *Claims) Promise(id Identity, s Subject, now time.Time, choose func(*Bookings) (Choice, bool)) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, id)
	choice, ok := choose(c.bookings(s, now))
	if !ok {
		return Choice{}, false
	}
	h := &heldClaim{
		Claim: Claim{Identity: id, Subject: s, RefusedAt: now, Delay: choice.Delay.Truncate(time.Millisecond), Room: choice.Room},
		own:   true, changedAt: now, unsent: transmissions, unrelayed: true,
	}
	c.insert(h, now)
	c.bookOwn(h, now)
	return choice, true
}

// Redeem reports what an arriving request is, and redeems its claim if its caller returned as told.
func (c *Claims) Redeem(id Identity, s Subject, now time.Time) Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[id]
	if h == nil || h.Redeemed || h.Subject != s {
		return ArrivalNew
	}
	opens := h.toldTime()
	if !h.own {
		opens = opens.Add(-travelTolerance)
	}
	switch {
	case now.Before(opens):
		return ArrivalEarly
	case now.After(h.toldTime().Add(window)):
		return ArrivalNew
	}
	h.Redeemed, h.changedAt, h.unsent, h.unrelayed = true, now, transmissions, true
	if h.Room {
		return ArrivalPromised
	}
	return ArrivalAsTold
}

// Merge adds the claims of another gateway. Of two refusals of one identity the later one counts.
func (c *Claims) Merge(list []Claim, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range list {
		c.merge(&list[i], now)
	}
}

// merge adds one claim. The caller holds the lock.
func (c *Claims) merge(x *Claim, now time.Time) {
	if x.ended(now) {
		return
	}
	h := c.held[x.Identity]
	switch {
	case h == nil || !h.copies(x) && x.RefusedAt.After(h.RefusedAt):
		c.insert(&heldClaim{Claim: *x, changedAt: now, unrelayed: true}, now)
	case h.copies(x):
		if x.RefusedAt.Before(h.RefusedAt) {
			// Each message adds its delay to the date.
			h.RefusedAt = x.RefusedAt
		}
		if x.Redeemed && !h.Redeemed {
			h.Redeemed, h.changedAt, h.unrelayed = true, now, true
		}
	}
}

// insert adds a claim, or replaces that of its identity. The caller holds the lock.
func (c *Claims) insert(h *heldClaim, now time.Time) {
	if c.held == nil {
		c.held = map[Identity]*heldClaim{}
	}
	if len(c.held) >= maxClaims && c.held[h.Identity] == nil {
		c.evict(now)
	}
	c.held[h.Identity] = h
}

// evict removes the claims that have ended; if there are few, also those of the earliest refusals.
// The caller holds the lock.
func (c *Claims) evict(now time.Time) {
	c.removeEnded(now)
	excess := len(c.held) - (maxClaims - evictBatch)
	if excess <= 0 {
		return
	}
	oldest := slices.SortedFunc(maps.Values(c.held), func(a, b *heldClaim) int { return a.RefusedAt.Compare(b.RefusedAt) })
	for _, h := range oldest[:excess] {
		delete(c.held, h.Identity)
	}
}

// removeEnded removes the claims that have ended. The caller holds the lock.
func (c *Claims) removeEnded(now time.Time) {
	maps.DeleteFunc(c.held, func(_ Identity, h *heldClaim) bool { return h.ended(now) })
}

// ToSend returns the claims that the next heartbeat carries, the newest changes first. Each change
// of this gateway's is returned twice.
func (c *Claims) ToSend(now time.Time) []Claim {
	return c.take(now, func(h *heldClaim) bool { return h.unsent > 0 }, func(h *heldClaim) { h.unsent-- })
}

// ToRelay returns the claims that a relay's next bundle carries, the newest changes first. Each
// change is returned once.
func (c *Claims) ToRelay(now time.Time) []Claim {
	return c.take(now, func(h *heldClaim) bool { return h.unrelayed }, func(h *heldClaim) { h.unrelayed = false })
}

// take removes the claims that have ended, and returns and marks the newest of those that are due.
func (c *Claims) take(now time.Time, due func(*heldClaim) bool, mark func(*heldClaim)) []Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeEnded(now)
	var all []*heldClaim
	for _, h := range c.held {
		if due(h) {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b *heldClaim) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.Identity, b.Identity))
	})
	var out []Claim
	for _, h := range all[:min(len(all), MaxPerMessage)] {
		mark(h)
		out = append(out, h.Claim)
	}
	return out
}

// Len returns how many claims are held, redeemed ones included.
func (c *Claims) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}
