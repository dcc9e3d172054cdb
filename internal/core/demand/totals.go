package demand

import (
	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// AccountHash is a hash of a client account's name.
type AccountHash uint32

// HashAccount returns the hash of an account's name.
func HashAccount(a graniteknot.Account) AccountHash {
	return AccountHash(xxhash.Sum64String(string(a)))
}

// Rank is the demand of one urgency.
type Rank struct {
	Urgency catalog.Urgency
	// Arrivals is the number of requests that arrive in a second.
	Arrivals float64
	// Queued requests wait at gateways, Running ones are at replicas.
	Queued, Running int
}

// Account is the demand of one client account.
type Account struct {
	Account AccountHash
	// Running requests are at replicas. Queued ones are not: they wait at gateways, or were refused
	// so recently that they would still run if they had been served.
	Queued, Running int
}

// Totals is the demand for a service over all gateways. The zero value is unknown.
type Totals struct {
	// Known is false if no other gateway was heard of late; then nothing else is set.
	Known bool
	// Gateways is how many gateways the totals are of, this one included.
	Gateways int
	// Ranks holds the most urgent first, each urgency once.
	Ranks []Rank
	// Accounts holds the accounts with the most requests; others are not listed.
	Accounts []Account
	// Unlisted are the requests of all other accounts together, without a hash.
	Unlisted Account
	// OwnShare is the share of the capacity that falls to this gateway by its demand, from 0 to 1.
	OwnShare float64
}

// Sum returns the demand of all urgencies together.
func (t *Totals) Sum() Rank {
	var out Rank
	for _, r := range t.Ranks {
		out.Arrivals += r.Arrivals
		out.Queued += r.Queued
		out.Running += r.Running
	}
	return out
}
