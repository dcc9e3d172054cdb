package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/delay"
)

const (
	// startupHold is how long after its start a gateway holds requests until it knows a
	// configuration and the replicas: about twice what the first read takes where all start at once. Most of
	// those who come right after a loss of power have no other try left. Where the store is
	// away they are refused after that time, and later ones at once.
	startupHold = 700 * time.Millisecond
	// firstVersionTimeout bounds how long a gateway that has read its first configuration asks others
	// whether they have a newer one.
	firstVersionTimeout = 150 * time.Millisecond
	// startupPollPeriod is the time between two looks.
	startupPollPeriod = 10 * time.Millisecond
)

// awaitTree returns the configuration in force and its age; nil where none is known, and this
// process has not just started. One that has just started knows the replicas' records as well.
func (g *Gateway) awaitTree(ctx context.Context) (*catalog.Tree, time.Duration) {
	for {
		now := g.Clock.Now()
		tree, age := g.Catalog.Current(now)
		if now.Sub(g.startedAt) > startupHold || ctx.Err() != nil {
			return tree, age
		}
		if _, read := g.freshness.age(now); read && tree != nil {
			return tree, age
		}
		g.configNeededOnce.Do(func() { close(g.configNeeded) })
		delay.For(ctx, startupPollPeriod)
	}
}

// checkPeersForNewer takes a newer configuration from a gateway that has one before the first that the
// store shows comes into force: a store that is back from an older copy may have keys that were
// taken away since, until operators have written again. The first gateway that has read any
// decides; those that have just started, too, do not answer for long.
func (g *Gateway) checkPeersForNewer(shown catalog.Version) {
	if g.firstVersionChecked {
		return
	}
	g.firstVersionChecked = true
	ctx, cancel := context.WithTimeout(g.group.Context(), firstVersionTimeout)
	defer cancel()
	peers := g.Members.Living(presence.RoleGateway, g.Config.Box, g.Clock.Now())
	for _, i := range rand.Perm(len(peers))[:min(revalidateTries, len(peers))] {
		asked := g.Clock.Now()
		told, err := g.askPeer(ctx, peers[i].Peers, querySettings)
		if err != nil {
			continue
		}
		if told.State > uint64(shown) {
			g.fetchInitialFrom(ctx, &confirmation{peer: peers[i], Standing: told, asOf: asked.Add(-told.Age)}, shown)
		}
		return
	}
}

// fetchInitialFrom takes the configuration of a gateway that has a newer one than the store shows.
func (g *Gateway) fetchInitialFrom(ctx context.Context, p *confirmation, shown catalog.Version) {
	records, err := g.socket.Fetch(ctx, p.peer.Peers, querySettingsPart)
	if err != nil {
		g.Log.Warn("newer configuration", slog.String("peer", string(p.peer.Box)), slog.String("error", err.Error()))
		return
	}
	g.Log.Warn("store behind", slog.String("peer", string(p.peer.Box)), slog.Int64("shown", int64(shown)))
	g.applyPeerSettings(records, p.asOf, p.source())
}
