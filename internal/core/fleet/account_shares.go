package fleet

import (
	"cmp"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/demand"
	"graniteknot.org/go/internal/core/fairshare"
)

const (
	// sharesPeriod is how long the shares of accounts are kept: a quarter of the time between
	// two heartbeats, so that they are about as new as the totals that they come from.
	sharesPeriod = 100 * time.Millisecond
	// sharesMaxAge is how old shares may be to be told as a metric.
	sharesMaxAge = 1500 * time.Millisecond
)

// accountShares holds the shares of the accounts of a coordinated service. Guarded by the
// table's lock.
type accountShares struct {
	// readAt is when the totals were last read.
	readAt time.Time
	// totals are the listed accounts over all gateways, in order of their hashes.
	totals []demand.Account
	// gateways is how many gateways the totals are of.
	gateways int
	// leastUrgent is the least urgent one that has requests at any gateway.
	leastUrgent catalog.Urgency
	// shares leave headroom to the other accounts, full do not. They limit no account if the totals
	// are not known.
	shares, full fairshare.Shares
	// exceeded reports whether an account asks for more than its full share.
	exceeded bool
	// holding is how long a request takes at full load; 0 if unknown.
	holding time.Duration
	// accounts holds the accounts that this process serves or has just been asked for.
	accounts map[graniteknot.Account]*accountUse
}

// accountSharesOf returns the shares for the service of a request; nil for one without
// coordinated admission. The caller holds the lock.
func (t *Table) accountSharesOf(q *Query, now time.Time) *accountShares {
	if !q.Service.Coordinated || t.Demand == nil {
		return nil
	}
	s := t.accountShares[q.Service.Name]
	if s == nil {
		s = &accountShares{accounts: map[graniteknot.Account]*accountUse{}}
		if t.accountShares == nil {
			t.accountShares = map[graniteknot.Service]*accountShares{}
		}
		t.accountShares[q.Service.Name] = s
	}
	if s.readAt.IsZero() || now.Sub(s.readAt) >= sharesPeriod {
		at := *q
		at.Now = now
		s.readAt = now
		capacity, throughput := t.capacityFor(&at)
		if throughput > 0 {
			s.holding = time.Duration(capacity / throughput * float64(time.Second))
		}
		s.update(t.demandFor(q.Service, now), capacity, now)
	}
	return s
}

// capacityFor returns how many requests all groups may have at once, and how many a second they
// answer. The caller holds the lock.
func (t *Table) capacityFor(q *Query) (capacity, throughput float64) {
	for _, g := range t.groupStates(q) {
		capacity += g.capacity()
		throughput += g.throughput(q)
	}
	return capacity, throughput
}

// update computes the shares. If the listed accounts are the same as before, what this process
// has started since they were first read still adds to them.
func (s *accountShares) update(totals demand.Totals, capacity float64, now time.Time) {
	list := slices.Clone(totals.Accounts)
	slices.SortFunc(list, func(a, b demand.Account) int { return cmp.Compare(a.Account, b.Account) })
	changed := !slices.Equal(s.totals, list)
	s.totals, s.gateways, s.leastUrgent = list, totals.Gateways, 0
	s.shares, s.full = fairshare.Shares{}, fairshare.Shares{}
	for _, r := range totals.Ranks {
		if r.Running+r.Queued > 0 {
			s.leastUrgent = max(s.leastUrgent, r.Urgency)
		}
	}
	if totals.Known {
		d := demandOf(&totals)
		s.shares = d.Shares(capacity)
		d.Headroom = 0
		s.full = d.Shares(capacity)
		s.exceeded = slices.ContainsFunc(list, func(a demand.Account) bool { return float64(requests(a)) > s.full.Of(requests(a)) })
	}
	for name, u := range s.accounts {
		if u.idle(now) {
			delete(s.accounts, name)
			continue
		}
		listed := s.listed(name)
		if changed {
			u.listed, u.ownAtTotals = listed.Running, u.recent[0]
		}
		u.recent = [2]int{u.recent[1], u.own}
		s.setShare(u, listed)
	}
}

// shareOf returns the share of an account. If another one asks for more than it can get, headroom is
// taken from that one alone: the second largest account must not pay for a burst of the largest. If
// all can get what they ask for, headroom is taken from all, since less urgent accounts would use slots
// that more urgent ones are about to need.
func (s *accountShares) shareOf(a demand.Account) float64 {
	if full := s.full.Of(requests(a)); s.exceeded && float64(requests(a)) <= full {
		return full
	}
	return s.shares.Of(requests(a))
}

// setShare sets the shares of an account by the totals.
func (s *accountShares) setShare(u *accountUse, listed demand.Account) {
	u.share, u.growingShare = s.shareOf(listed), growingShare*s.shares.Of(requests(listed))
}

// demandOf returns the demand of accounts.
func demandOf(totals *demand.Totals) fairshare.Demand {
	out := fairshare.Demand{Headroom: 1 - nearlyFullShare, Unlisted: requests(totals.Unlisted)}
	for _, a := range totals.Accounts {
		out.Listed = append(out.Listed, requests(a))
	}
	return out
}

// requests returns how many requests an account has.
func requests(a demand.Account) int { return a.Running + a.Queued }

// listed returns an account by the totals; without requests if it is not listed.
func (s *accountShares) listed(name graniteknot.Account) demand.Account {
	hash := demand.HashAccount(name)
	i, found := slices.BinarySearchFunc(s.totals, hash, func(a demand.Account, h demand.AccountHash) int { return cmp.Compare(a.Account, h) })
	if !found {
		return demand.Account{Account: hash}
	}
	return s.totals[i]
}

// useOf returns the use of an account.
func (s *accountShares) useOf(name graniteknot.Account) *accountUse {
	u := s.accounts[name]
	if u == nil {
		listed := s.listed(name)
		u = &accountUse{listed: listed.Running, refused: decayingRate{window: refusedWindow}}
		s.setShare(u, listed)
		s.accounts[name] = u
	}
	return u
}

// excess returns by how much an account exceeds its share, relative to the share; 0 for an
// account at or below it, and without shares.
func (s *accountShares) excess(name graniteknot.Account) float64 {
	if s == nil {
		return 0
	}
	u := s.useOf(name)
	share := u.share
	if u.growing(s.gateways) {
		share = min(share, u.growingShare)
	}
	return fairshare.Excess(u.running(s.gateways), share)
}

// usableShare returns the share of a group's slots that a request may use. An account over its
// share may not use more than half of them, since its share contains all that the others do
// not ask for. Shares apply within one urgency: where less urgent requests would take the other
// half, it is all but the last tenth, and all for an account that only seems to grow: that is
// estimated too roughly to hold urgent requests back.
func (s *accountShares) usableShare(q *Query) float64 {
	switch {
	case s.excess(q.Account) == 0:
		return 1
	case q.Urgency >= s.leastUrgent:
		return crowdedShare
	case s.useOf(q.Account).withinShare(s.gateways):
		return 1
	}
	return 1 - reservedShare
}

// countRequest counts a request of an account as running; it returns nil for a service without
// coordinated admission. The caller holds the lock.
func (t *Table) countRequest(q *Query) *accountUse {
	s := t.accountSharesOf(q, q.Now)
	if s == nil {
		return nil
	}
	u := s.useOf(q.Account)
	u.own++
	return u
}

// AccountsOverShare returns how many accounts run more requests of a service than their shares,
// of those with the most requests over all gateways; 0 if that is not known.
func (t *Table) AccountsOverShare(s graniteknot.Service, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := t.accountShares[s]
	if shares == nil || now.Sub(shares.readAt) >= sharesMaxAge {
		return 0
	}
	n := 0
	for _, a := range shares.totals {
		if fairshare.Excess(a.Running, shares.shareOf(a)) > 0 {
			n++
		}
	}
	return n
}
