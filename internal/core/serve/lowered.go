package serve

import (
	"fmt"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/limit"
)

// maxLowered bounds the accounts in Agent.lowered.
const maxLowered = 1024

// overLowered holds queued work to a limit that was lowered after it was
// admitted: this agent lets its part among the service's targets start, and the
// reason for the rest is not empty. New work is held by the entries.
func (a *Agent) overLowered(d *wire.Dispatch) string {
	c := d.GetClaim()
	name := limit.AccountName{Partner: graniteknot.Partner(c.GetPartner()), Account: graniteknot.Account(c.GetAccount())}
	tree := a.Tree()
	account, ok := tree.Account(name.Partner, name.Account)
	service, known := tree.Service(name.Partner, graniteknot.Service(c.GetService()))
	if !ok || !known || account.RequestRate == 0 {
		return ""
	}
	if admitted := d.GetRequestRate(); admitted != 0 && admitted <= account.RequestRate {
		return ""
	}
	rate := float64(account.RequestRate) / float64(max(len(service.Targets), 1))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lowered == nil || len(a.lowered) >= maxLowered {
		a.lowered = map[limit.AccountName]*limit.Bucket{}
	}
	bucket, ok := a.lowered[name]
	if !ok {
		bucket = &limit.Bucket{}
		a.lowered[name] = bucket
	}
	if bucket.Take(a.now(), rate, 1) {
		return ""
	}
	return fmt.Sprintf("the account's limit was lowered to %d a second", account.RequestRate)
}
