package gateway

import (
	"context"
	"net/http"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/delay"
)

// A refusal for want of a route or an account says that no configuration in force has it. So it
// is given only by a configuration that was proved of late, and while no other gateway is
// known to have a newer one.

const (
	// refusalWait is how long a request waits for a newer configuration, or for the proof that
	// there is none, before it is told that it was not run.
	refusalWait = 300 * time.Millisecond
	// refusalLook is the time between two looks meanwhile.
	refusalLook = 5 * time.Millisecond
)

// denial is why a request is refused by the configuration; the zero value is no denial.
type denial struct {
	status int
	reason string
}

// grant is what a configuration allows a request.
type grant struct {
	tree    *catalog.Tree
	route   *catalog.Route
	account *catalog.Account
}

// grantOf returns what a configuration allows a request, or why it does not.
func grantOf(tree *catalog.Tree, r *forward.Request) (grant, denial) {
	route := tree.Route(r.Host, r.Path)
	if route == nil {
		return grant{}, denial{http.StatusNotFound, "no-route"}
	}
	account := tree.Account(r.APIKey)
	if account == nil && tree.Tenanted && !route.Public {
		return grant{}, denial{http.StatusUnauthorized, "unknown-key"}
	}
	return grant{tree, route, account}, denial{}
}

// proofAge is how old the proof of a configuration may be while the store answers: two reads
// that wait, each of which proves what was in force at its begin, and what the answer to the
// second may take, or the questions between gateways in a large deployment.
const proofAge = max(2*settingsWait+400*time.Millisecond, settingsTrust+revalidatePause)

// newest tells whether a configuration is, for all that is known, the newest.
func (g *Gateway) newest(age time.Duration) bool {
	return age < proofAge && !g.behind()
}

// settle waits until the configuration in force is known to be the newest or allows a request;
// false when neither is so in time.
func (g *Gateway) settle(ctx context.Context, r *forward.Request) (*catalog.Tree, time.Duration, bool) {
	over := g.Clock.Now().Add(refusalWait)
	for first := true; ; first = false {
		tree, age := g.Catalog.Current(g.Clock.Now())
		if _, deny := grantOf(tree, r); deny == (denial{}) || g.newest(age) {
			return tree, age, true
		}
		if !g.Clock.Now().Before(over) || ctx.Err() != nil {
			return tree, age, false
		}
		if first {
			wake(g.newerWake)
			wake(g.settingsWake)
		}
		delay.For(ctx, refusalLook)
	}
}

// reconsider looks again at a request that is not allowed, under a configuration that is
// known to be the newest; false after a refusal.
func (x *exchange) reconsider() (grant, bool) {
	tree, age, sure := x.gateway.settle(x.r.Context(), x.request)
	x.version, x.age = tree.Version, age
	found, deny := grantOf(tree, x.request)
	switch {
	case deny == denial{}:
		return found, true
	case sure:
		x.refuse(deny.status, deny.reason, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, "configuration-behind", refusedAgain)
	}
	return grant{}, false
}
