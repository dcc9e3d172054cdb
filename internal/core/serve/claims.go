package serve

import (
	"fmt"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
	"graniteknot.org/go/internal/wire"
)

// claimRequest reads the claim of a message.
func claimRequest(c *wire.Claim) claim.Request {
	r := claim.Request{
		ID: claim.NewID(graniteknot.Partner(c.GetPartner()), graniteknot.Account(c.GetAccount()),
			graniteknot.Service(c.GetService()), graniteknot.Key(c.GetKey())),
		Incarnation: graniteknot.Incarnation(c.GetIncarnation()),
		Try:         c.GetTry(),
		Repeatable:  c.GetRepeatable(),
		BodyDigest:  c.GetBodyDigest(),
	}
	if c.GetKeyTimeMs() != 0 {
		r.KeyTime = time.UnixMilli(c.GetKeyTimeMs())
	}
	if c.GetUntilMs() != 0 {
		r.Deadline = time.UnixMilli(c.GetUntilMs())
	}
	return r
}

// assigned tells whether the settings give this agent the service and the
// account the right to it; the reason is empty if so.
func (a *Agent) assigned(c *wire.Claim) string {
	tree := a.Tree()
	partner := graniteknot.Partner(c.GetPartner())
	service, ok := tree.Service(partner, graniteknot.Service(c.GetService()))
	if !ok || !service.Serves(a.Address) {
		return fmt.Sprintf("service %s is not assigned to %s", c.GetService(), a.Address)
	}
	if !tree.HasAccount(partner, graniteknot.Account(c.GetAccount())) {
		return fmt.Sprintf("account %s was removed", c.GetAccount())
	}
	return ""
}

// Withdraw makes sure that a request never starts here, or tells why not.
func (a *Agent) Withdraw(r *wire.WithdrawRequest) *wire.WithdrawReply {
	a.observe(r.GetClock())
	a.counts.withdrawn.Add(1)
	request := claimRequest(r.GetClaim())
	verdict := a.Claims.Withdraw(a.now(), request)
	if verdict == claim.VerdictNever {
		a.cancelQueued(request.ID)
	}
	return &wire.WithdrawReply{Verdict: withdrawWord(verdict), Clock: a.stamp()}
}

func withdrawWord(v claim.Verdict) wire.WithdrawReply_Verdict {
	switch v {
	case claim.VerdictNever:
		return wire.WithdrawReply_NEVER
	case claim.VerdictJoin:
		return wire.WithdrawReply_RUNNING
	case claim.VerdictAnswered:
		return wire.WithdrawReply_ANSWERED
	case claim.VerdictMaybe, claim.VerdictStart, claim.VerdictMismatch:
		return wire.WithdrawReply_MAYBE
	}
	return wire.WithdrawReply_MAYBE
}

// cancelQueued ends the wait of a withdrawn request.
func (a *Agent) cancelQueued(id claim.ID) {
	a.mu.Lock()
	j := a.jobs[id]
	a.mu.Unlock()
	if j != nil {
		j.cancel(errWithdrawn)
	}
}
