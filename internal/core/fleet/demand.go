package fleet

import (
	"cmp"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/demand"
)

// demandWindow is the averaging window of the arrival rates that gateways tell each other: two
// heartbeats and more, so that a burst shows in the second heartbeat after it began.
const demandWindow = time.Second

// OwnDemand returns this process's demand for a service, by urgency and by account. Ranks are in
// order of urgency, accounts in no order.
func (t *Table) OwnDemand(s graniteknot.Service, now time.Time) ([]demand.Rank, []demand.Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownDemand(s, now)
}

// ownDemand implements OwnDemand. The caller holds the lock.
func (t *Table) ownDemand(s graniteknot.Service, now time.Time) ([]demand.Rank, []demand.Account) {
	ranks := map[catalog.Urgency]*demand.Rank{}
	rank := func(u catalog.Urgency) *demand.Rank {
		if ranks[u] == nil {
			ranks[u] = &demand.Rank{Urgency: u}
		}
		return ranks[u]
	}
	accounts := map[graniteknot.Account]*demand.Account{}
	account := func(a graniteknot.Account) *demand.Account {
		if accounts[a] == nil {
			accounts[a] = &demand.Account{Account: demand.HashAccount(a)}
		}
		return accounts[a]
	}
	for u, arrivals := range t.statsOf(s).arrivalsByUrgency {
		rank(u).Arrivals = arrivals.perSecond(now)
	}
	for _, w := range t.queues[s] {
		rank(w.query.Urgency).Queued++
		account(w.query.Account).Queued++
	}
	for name, n := range t.refusedOf(s, now) {
		account(name).Queued += n
	}
	for _, x := range t.services[s] {
		for l := range x.own {
			rank(l.urgency).Running++
			account(l.account).Running++
		}
	}
	outRanks := make([]demand.Rank, 0, len(ranks))
	for _, r := range ranks {
		outRanks = append(outRanks, *r)
	}
	slices.SortFunc(outRanks, func(a, b demand.Rank) int { return cmp.Compare(a.Urgency, b.Urgency) })
	outAccounts := make([]demand.Account, 0, len(accounts))
	for _, a := range accounts {
		outAccounts = append(outAccounts, *a)
	}
	return outRanks, outAccounts
}

// demandFor returns the demand for a service over all gateways; unknown for one without
// coordinated admission. The caller holds the lock.
func (t *Table) demandFor(s *catalog.Service, now time.Time) demand.Totals {
	if !s.Coordinated || t.Demand == nil {
		return demand.Totals{}
	}
	return t.Demand(s.Name, now)
}
