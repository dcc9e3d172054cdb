package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/limit"
	"graniteknot.org/go/member"
	"graniteknot.org/go/settings"
)

// lendTime bounds the question to an account's home.
const lendTime = 100 * time.Millisecond

// admit holds the account's limits. A refused request that its caller may have
// sent elsewhere before is withdrawn first.
func (e *Entry) admit(r *http.Request, q *relay.Request) (*limit.Account, *failure) {
	now := time.Now()
	name := limit.AccountName{Partner: q.Account.Partner, Account: q.Account.Name}
	account := e.limits.Get(name, now)
	home, rates := e.home(q.Account)
	ask := func(want limit.Amount) (limit.Amount, bool) { return e.borrow(r.Context(), home, name, rates, want) }
	wait, ok := account.Admit(now, rates, float64(q.Cost), ask)
	if ok {
		return account, nil
	}
	e.counts.limited.Add(1)
	result := e.relay.Reject(r.Context(), q, "limit", "the account's limit is reached")
	e.count(result)
	f := resultFailure(result)
	f.status = http.StatusTooManyRequests
	f.retryAfter = max(wait, time.Millisecond)
	return nil, f
}

// home returns the entry that holds an account's limits, by the highest hash
// among the partner's entries that are alive, and the limits as seen here.
func (e *Entry) home(a *settings.AccountView) (graniteknot.Address, limit.Rates) {
	var best graniteknot.Address
	var bestHash uint64
	rates := limit.Rates{
		Requests: float64(a.RequestRate), Tokens: float64(a.TokenRate), Concurrent: a.Concurrent, Processes: a.Entries,
	}
	for _, m := range e.node.Members.Members(member.RoleEntry) {
		if m.Partner != a.Partner || m.State == member.StateDead {
			continue
		}
		rates.AliveProcesses++
		hash := xxhash.Sum64String(string(m.Address) + "\x00" + string(a.Name))
		if m.State == member.StateAlive && (best == "" || hash > bestHash) {
			best, bestHash = m.Address, hash
		}
	}
	return best, rates
}

// borrow asks an account's home.
func (e *Entry) borrow(ctx context.Context, home graniteknot.Address, name limit.AccountName, r limit.Rates, want limit.Amount) (limit.Amount, bool) {
	if home == e.node.Config.Listen {
		return e.lender.Lend(time.Now(), name, r, want), true
	}
	ctx, cancel := context.WithTimeout(ctx, lendTime)
	defer cancel()
	reply, err := e.node.Client.Peer(home).Lend(ctx, &wire.LendRequest{
		Partner: string(name.Partner), Account: string(name.Account), Requests: want.Requests, Tokens: want.Tokens,
	})
	if err != nil {
		return limit.Amount{}, false
	}
	return limit.Amount{Requests: reply.GetRequests(), Tokens: reply.GetTokens()}, true
}

// lend is the home's part of borrow.
func (e *Entry) lend(r *wire.LendRequest) *wire.LendReply {
	name := limit.AccountName{Partner: graniteknot.Partner(r.GetPartner()), Account: graniteknot.Account(r.GetAccount())}
	account, ok := e.node.Store.Tree().Account(name.Partner, name.Account)
	if !ok {
		return &wire.LendReply{}
	}
	_, rates := e.home(account)
	lent := e.lender.Lend(time.Now(), name, rates, limit.Amount{Requests: r.GetRequests(), Tokens: r.GetTokens()})
	return &wire.LendReply{Requests: lent.Requests, Tokens: lent.Tokens}
}
