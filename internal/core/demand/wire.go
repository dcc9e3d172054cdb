package demand

import (
	"errors"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"graniteknot.org/go/catalog"
)

const (
	// maxBytes bounds an encoded summary, so that a heartbeat that carries one fits into a packet.
	maxBytes = 400
	// maxAccounts is how many accounts of a service a message lists. One takes 8 to 12 bytes, so
	// that more would leave no room for the urgencies.
	maxAccounts = 32
	// maxSummedAccounts is how many accounts of a service a sum over gateways lists.
	maxSummedAccounts = 16
	// maxRanks is how many urgencies of a service a message lists. Deployments have three; the
	// bound keeps a configuration with many from leaving no room for the rest.
	maxRanks = 16
	// arrivalScale is the number of units of an encoded arrival rate in 1 a second.
	arrivalScale = 100
)

// errTooLong is returned for a summary of more than maxBytes.
var errTooLong = errors.New("summary of demand too long")

// wireService is the encoded demand for a service.
type wireService struct {
	_           struct{} `cbor:",toarray"`
	Service     uint32
	Gateways    uint16
	Ranks       []wireRank
	Accounts    []wireAccount
	RestQueued  uint32
	RestRunning uint32
}

// wireRank is an encoded Rank.
type wireRank struct {
	_       struct{} `cbor:",toarray"`
	Urgency int32
	// Arrivals is in units of 1/arrivalScale a second.
	Arrivals uint32
	Queued   uint32
	Running  uint32
}

// wireAccount is an encoded Account.
type wireAccount struct {
	_       struct{} `cbor:",toarray"`
	Account uint32
	Queued  uint32
	Running uint32
}

// encode returns a summary in at most maxBytes; nil for an empty one. The accounts with the fewest
// requests are left out first, then the services with the highest hashes: all gateways leave out
// the same services.
func (m summary) encode(accounts int) ([]byte, error) {
	hashes := slices.Sorted(maps.Keys(m))
	for ; len(hashes) > 0; hashes = hashes[:len(hashes)-1] {
		for n := accounts; n >= 0; n-- {
			out, err := m.encodeWith(hashes, n)
			if err != nil || len(out) <= maxBytes {
				return out, err
			}
		}
	}
	return nil, nil
}

// encodeWith encodes some services with at most n accounts each.
func (m summary) encodeWith(hashes []serviceHash, n int) ([]byte, error) {
	out := make([]wireService, 0, len(hashes))
	for _, h := range hashes {
		s := *m[h]
		s.keepLargest(n)
		w := wireService{
			Service: uint32(h), Gateways: uint16(min(s.gateways, math.MaxUint16)),
			RestQueued: count(s.rest.Queued), RestRunning: count(s.rest.Running),
		}
		for _, r := range mergeRanks(s.sortedRanks()) {
			w.Ranks = append(w.Ranks, wireRank{Urgency: int32(r.Urgency), Arrivals: rate(r.Arrivals), Queued: count(r.Queued), Running: count(r.Running)})
		}
		for _, a := range s.largestAccounts(n) {
			w.Accounts = append(w.Accounts, wireAccount{Account: uint32(a.Account), Queued: count(a.Queued), Running: count(a.Running)})
		}
		out = append(out, w)
	}
	return cbor.Marshal(out)
}

// mergeRanks returns at most maxRanks ranks; the last one has the demand of all less urgent ones.
func mergeRanks(ranks []Rank) []Rank {
	if len(ranks) <= maxRanks {
		return ranks
	}
	last := &ranks[maxRanks-1]
	for _, r := range ranks[maxRanks:] {
		last.Arrivals += r.Arrivals
		last.Queued += r.Queued
		last.Running += r.Running
	}
	return ranks[:maxRanks]
}

// count returns a number of requests as it is encoded.
func count(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

// rate returns an arrival rate as it is encoded.
func rate(perSecond float64) uint32 {
	return uint32(min(max(arrivalScale*perSecond+0.5, 0), math.MaxUint32))
}

// decode returns an encoded summary.
func decode(body []byte) (summary, error) {
	if len(body) > maxBytes {
		return nil, errTooLong
	}
	var services []wireService
	if err := cbor.Unmarshal(body, &services); err != nil {
		return nil, err
	}
	out := summary{}
	for _, w := range services {
		s := &sum{gateways: int(w.Gateways), rest: Account{Queued: int(w.RestQueued), Running: int(w.RestRunning)}}
		for _, r := range w.Ranks {
			s.addRank(Rank{catalog.Urgency(r.Urgency), float64(r.Arrivals) / arrivalScale, int(r.Queued), int(r.Running)})
		}
		for _, a := range w.Accounts {
			s.addAccount(Account{AccountHash(a.Account), int(a.Queued), int(a.Running)})
		}
		out[serviceHash(w.Service)] = s
	}
	return out, nil
}
