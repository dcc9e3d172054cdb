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
	// youngFor is how long after its start a gateway holds requests until it knows a
	// configuration and the replicas: about twice what the first read takes where all start at once. Most of
	// those who come right after a loss of power have no other try left. Where the store is
	// away they are refused after that time, and later ones at once.
	youngFor = 700 * time.Millisecond
	// firstAskTime bounds how long a gateway that has read its first configuration asks others
	// whether they have a newer one.
	firstAskTime = 150 * time.Millisecond
	// youngLook is the time between two looks.
	youngLook = 10 * time.Millisecond
)

// tree returns the configuration in force and its age; nil where none is known, and this
// process has not just started. One that has just started knows the replicas' records as well.
func (g *Gateway) tree(ctx context.Context) (*catalog.Tree, time.Duration) {
	for {
		now := g.Clock.Now()
		tree, age := g.Catalog.Current(now)
		if now.Sub(g.started) > youngFor || ctx.Err() != nil {
			return tree, age
		}
		if _, read := g.validity.age(now); read && tree != nil {
			return tree, age
		}
		g.wantedOnce.Do(func() { close(g.wanted) })
		delay.For(ctx, youngLook)
	}
}

// askBeforeFirst takes a newer configuration from a gateway that has one before the first that the
// store shows comes into force: a store that is back from an older copy may have keys that were
// taken away since, until operators have written again. The first gateway that has read any
// decides; those that have just started, too, do not answer for long.
func (g *Gateway) askBeforeFirst(shown catalog.Version) {
	if g.firstAsked {
		return
	}
	g.firstAsked = true
	ctx, cancel := context.WithTimeout(g.group.Context(), firstAskTime)
	defer cancel()
	peers := g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, g.Clock.Now())
	for _, i := range rand.Perm(len(peers))[:min(revalidateTries, len(peers))] {
		asked := g.Clock.Now()
		told, err := g.askPeer(ctx, peers[i].PeerAddress, askSettings)
		if err != nil {
			continue
		}
		if told.State > uint64(shown) {
			g.takeBeforeFirst(ctx, &proof{from: peers[i], TopicStatus: told, at: asked.Add(-told.Age)}, shown)
		}
		return
	}
}

// takeBeforeFirst takes the configuration of a gateway that has a newer one than the store shows.
func (g *Gateway) takeBeforeFirst(ctx context.Context, p *proof, shown catalog.Version) {
	records, err := g.socket.Fetch(ctx, p.from.PeerAddress, askSettingsPart)
	if err != nil {
		g.Log.Warn("newer configuration", slog.String("peer", string(p.from.Box)), slog.String("error", err.Error()))
		return
	}
	g.Log.Warn("store behind", slog.String("peer", string(p.from.Box)), slog.Int64("shown", int64(shown)))
	g.handSettings(records, p.at, p.source())
}
