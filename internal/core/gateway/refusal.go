package gateway

import (
	"context"
	"net/http"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/delay"
)

// A request is refused for lack of a route or an account only if the configuration was confirmed
// recently and no other gateway is known to have a newer one; otherwise a route or key that was
// just added would be refused.

const (
	// denialWait is how long a request waits for a newer configuration, or for confirmation that
	// there is none, before it is refused as not run.
	denialWait = 300 * time.Millisecond
	// denialPollPeriod is the interval at which the configuration is checked meanwhile.
	denialPollPeriod = 5 * time.Millisecond
)

// denial is why the configuration refuses a request; the zero value means that it does not.
type denial struct {
	status int
	reason string
}

// access is what the configuration gives a request access to.
type access struct {
	tree    *catalog.Tree
	route   *catalog.Route
	account *catalog.Account
}

// authorize returns the route and account of a request, or why it is refused.
func authorize(tree *catalog.Tree, r *forward.Request) (access, denial) {
	route := tree.Route(r.Host, r.Path)
	if route == nil {
		return access{}, denial{http.StatusNotFound, "no-route"}
	}
	account := tree.Account(r.APIKey)
	if account == nil && tree.Tenanted && !route.Public {
		return access{}, denial{http.StatusUnauthorized, "unknown-key"}
	}
	return access{tree, route, account}, denial{}
}

// maxConfirmedAge is how long ago a configuration may have been confirmed while the store answers.
// It covers two long-polling reads, each of which confirms what was in force when it began, and
// 400 ms for the answer to the second; in a large deployment, the queries between gateways.
const maxConfirmedAge = max(2*settingsReadWait+400*time.Millisecond, settingsMaxAge+revalidatePause)

// isNewest reports whether a configuration confirmed so long ago is the newest one known.
func (g *Gateway) isNewest(age time.Duration) bool {
	return age < maxConfirmedAge && !g.isBehind()
}

// awaitNewest waits until the configuration is known to be the newest or allows a request; it
// returns false if neither happens within denialWait.
func (g *Gateway) awaitNewest(ctx context.Context, r *forward.Request) (*catalog.Tree, time.Duration, bool) {
	deadline := g.Clock.Now().Add(denialWait)
	for first := true; ; first = false {
		tree, age := g.Catalog.Current(g.Clock.Now())
		if _, denied := authorize(tree, r); denied == (denial{}) || g.isNewest(age) {
			return tree, age, true
		}
		if !g.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return tree, age, false
		}
		if first {
			wake(g.peerVersionWake)
			wake(g.settingsWake)
		}
		delay.For(ctx, denialPollPeriod)
	}
}

// recheck authorizes a denied request again, under a configuration that is known to be the newest;
// it returns false after a refusal.
func (x *exchange) recheck() (access, bool) {
	tree, age, confirmed := x.gateway.awaitNewest(x.r.Context(), x.request)
	x.version, x.versionAge = tree.Version, age
	granted, denied := authorize(tree, x.request)
	switch {
	case denied == denial{}:
		return granted, true
	case confirmed:
		x.refuse(denied.status, denied.reason, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, "configuration-behind", retryAfterUnavailable)
	}
	return access{}, false
}
