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
	// denialWait is how long a request waits for a newer configuration, or for the proof that
	// there is none, before it is told that it was not run.
	denialWait = 300 * time.Millisecond
	// denialPollPeriod is the time between two looks meanwhile.
	denialPollPeriod = 5 * time.Millisecond
)

// denial is why a request is refused by the configuration; the zero value is no denial.
type denial struct {
	status int
	reason string
}

// access is what a configuration allows a request.
type access struct {
	tree    *catalog.Tree
	route   *catalog.Route
	account *catalog.Account
}

// authorize returns what a configuration allows a request, or why it does not.
func authorize(tree *catalog.Tree, r *forward.Request) (access, denial) {
	route := tree.Route(r.Host, r.Path)
	if route == nil {
		return access{}, denial{http.StatusNotFound, "no-route"}
	}
	account := tree.Account(r.Key)
	if account == nil && tree.Tenanted && !route.Public {
		return access{}, denial{http.StatusUnauthorized, "unknown-key"}
	}
	return access{tree, route, account}, denial{}
}

// maxConfirmedAge is how old the proof of a configuration may be while the store answers: two reads
// that wait, each of which proves what was in force at its begin, and what the answer to the
// second may take, or the questions between gateways in a large deployment.
const maxConfirmedAge = max(2*settingsReadWait+400*time.Millisecond, settingsMaxAge+revalidatePause)

// isNewest tells whether a configuration is, for all that is known, the isNewest.
func (g *Gateway) isNewest(age time.Duration) bool {
	return age < maxConfirmedAge && !g.isBehind()
}

// awaitNewest waits until the configuration in force is known to be the newest or allows a request;
// false when neither is so in time.
func (g *Gateway) awaitNewest(ctx context.Context, r *forward.Request) (*catalog.Tree, time.Duration, bool) {
	over := g.Clock.Now().Add(denialWait)
	for first := true; ; first = false {
		tree, age := g.Catalog.Current(g.Clock.Now())
		if _, deny := authorize(tree, r); deny == (denial{}) || g.isNewest(age) {
			return tree, age, true
		}
		if !g.Clock.Now().Before(over) || ctx.Err() != nil {
			return tree, age, false
		}
		if first {
			wake(g.peerVersionWake)
			wake(g.settingsWake)
		}
		delay.For(ctx, denialPollPeriod)
	}
}

// recheck looks again at a request that is not allowed, under a configuration that is
// known to be the newest; false after a refusal.
func (x *exchange) recheck() (access, bool) {
	tree, age, sure := x.gateway.awaitNewest(x.r.Context(), x.request)
	x.version, x.versionAge = tree.Version, age
	found, deny := authorize(tree, x.request)
	switch {
	case deny == denial{}:
		return found, true
	case sure:
		x.refuse(deny.status, deny.reason, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, "configuration-behind", retryAfterUnavailable)
	}
	return access{}, false
}
