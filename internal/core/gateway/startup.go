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
	// configuration and the replicas: about twice what the first read takes when all gateways
	// start at once. Most callers that come right after a power loss have no retry left. During a
	// store outage they are refused after this time, and later ones at once.
	startupHold = 700 * time.Millisecond
	// firstVersionTimeout bounds how long a gateway that has read its first configuration asks
	// others for a newer one.
	firstVersionTimeout = 150 * time.Millisecond
	// startupPollPeriod is the interval at which held requests check for a configuration.
	startupPollPeriod = 10 * time.Millisecond
)

// awaitTree returns the configuration in force and its age; nil if none is known. For startupHold
// after the start it waits until a configuration and the replica records are known.
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

// checkPeersForNewer runs before the first configuration from the store comes into force, and
// applies a newer one that another gateway has: a store restored from an older copy may contain
// keys that were revoked since, until operators have written again. The first gateway that has
// read any configuration decides; others that have just started do not delay the start for long.
func (g *Gateway) checkPeersForNewer(stored catalog.Version) {
	if g.firstVersionChecked {
		return
	}
	g.firstVersionChecked = true
	ctx, cancel := context.WithTimeout(g.group.Context(), firstVersionTimeout)
	defer cancel()
	peers := g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, g.Clock.Now())
	for _, i := range rand.Perm(len(peers))[:min(revalidateTries, len(peers))] {
		asked := g.Clock.Now()
		answer, err := g.askPeer(ctx, peers[i].PeerAddress, querySettings)
		if err != nil {
			continue
		}
		if answer.State > uint64(stored) {
			g.fetchInitialFrom(ctx, &confirmation{peer: peers[i], TopicStatus: answer, asOf: asked.Add(-answer.Age)}, stored)
		}
		return
	}
}

// fetchInitialFrom fetches the configuration of a gateway that has a newer one than the store
// returned.
func (g *Gateway) fetchInitialFrom(ctx context.Context, c *confirmation, stored catalog.Version) {
	records, err := g.socket.Fetch(ctx, c.peer.PeerAddress, querySettingsPart)
	if err != nil {
		g.Log.Warn("newer configuration not fetched", slog.String("peer", string(c.peer.Box)), slog.String("error", err.Error()))
		return
	}
	g.Log.Warn("store behind", slog.String("peer", string(c.peer.Box)), slog.Int64("shown", int64(stored)))
	g.applyPeerSettings(records, c.asOf, c.source())
}
