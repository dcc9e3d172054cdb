package demand

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// serviceHash identifies a service in messages.
type serviceHash uint32

func hashService(s graniteknot.Service) serviceHash {
	return serviceHash(xxhash.Sum64String(string(s)))
}

// summary is the demand for each service at one or more gateways.
type summary map[serviceHash]*sum

// sum adds up the demand for a service. The zero value is empty.
type sum struct {
	gateways int
	ranks    map[catalog.Urgency]Rank
	accounts map[AccountHash]Account
	// rest is the demand of the accounts that are not listed.
	rest Account
}

// add adds the demand of other gateways.
func (s *sum) add(o *sum) {
	s.gateways += o.gateways
	for _, r := range o.ranks {
		s.addRank(r)
	}
	for _, a := range o.accounts {
		s.addAccount(a)
	}
	s.rest.Queued += o.rest.Queued
	s.rest.Running += o.rest.Running
}

func (s *sum) addRank(r Rank) {
	if s.ranks == nil {
		s.ranks = map[catalog.Urgency]Rank{}
	}
	old := s.ranks[r.Urgency]
	s.ranks[r.Urgency] = Rank{r.Urgency, old.Arrivals + r.Arrivals, old.Queued + r.Queued, old.Running + r.Running}
}

func (s *sum) addAccount(a Account) {
	if s.accounts == nil {
		s.accounts = map[AccountHash]Account{}
	}
	old := s.accounts[a.Account]
	s.accounts[a.Account] = Account{a.Account, old.Queued + a.Queued, old.Running + a.Running}
}

// replace replaces what a gateway had told by what it has now. Differences stay at zero or above:
// the sum may lack what was told, because a message was lost.
func (s *sum) replace(told, current *sum) {
	for _, r := range current.ranks {
		s.addRank(r)
	}
	for u, r := range told.ranks {
		if have, ok := s.ranks[u]; ok {
			s.ranks[u] = Rank{u, max(0, have.Arrivals-r.Arrivals), max(0, have.Queued-r.Queued), max(0, have.Running-r.Running)}
		}
	}
	complete := s.rest == Account{}
	for h, a := range current.accounts {
		// What other gateways have of an unlisted account is unknown.
		if _, listed := s.accounts[h]; listed || complete {
			s.addAccount(a)
		}
	}
	for h, a := range told.accounts {
		if have, ok := s.accounts[h]; ok {
			s.accounts[h] = Account{h, max(0, have.Queued-a.Queued), max(0, have.Running-a.Running)}
		}
	}
}

// arrivals returns the arrival rate of all urgencies.
func (s *sum) arrivals() float64 {
	out := 0.0
	for _, r := range s.ranks {
		out += r.Arrivals
	}
	return out
}

// sortedRanks returns the demand by urgency, the most urgent first.
func (s *sum) sortedRanks() []Rank {
	out := make([]Rank, 0, len(s.ranks))
	for _, u := range slices.Sorted(maps.Keys(s.ranks)) {
		out = append(out, s.ranks[u])
	}
	return out
}

// largestAccounts returns at most n accounts with requests, those with the most first.
func (s *sum) largestAccounts(n int) []Account {
	out := make([]Account, 0, len(s.accounts))
	for _, a := range s.accounts {
		if a.Queued+a.Running > 0 {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, compareAccounts)
	return out[:min(n, len(out))]
}

// compareAccounts orders accounts by their requests, most first, then by hash.
func compareAccounts(a, b Account) int {
	return cmp.Or(cmp.Compare(b.Queued+b.Running, a.Queued+a.Running), cmp.Compare(a.Account, b.Account))
}

// keepLargest moves all but the n largest accounts into the rest.
func (s *sum) keepLargest(n int) {
	if len(s.accounts) <= n {
		return
	}
	kept := make(map[AccountHash]Account, n)
	for _, a := range s.largestAccounts(n) {
		kept[a.Account] = a
	}
	for h, a := range s.accounts {
		if _, ok := kept[h]; !ok {
			s.rest.Queued += a.Queued
			s.rest.Running += a.Running
		}
	}
	s.accounts = kept
}
