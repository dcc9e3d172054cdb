package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/delay"
)

const (
	// ownReadWait is how long a gateway that reads the store itself, when it is told of a
	// newer configuration, waits for its own read to show it.
	ownReadWait = 150 * time.Millisecond
	// fetchSpacing is the least time between two takings, takeRetry and longestTakeRetry bound
	// the pause after one that failed, which doubles.
	fetchSpacing  = 200 * time.Millisecond
	fetchRetry    = 40 * time.Millisecond
	maxFetchRetry = time.Second
)

// peerVersions knows of the newest configuration that another gateway has and this one has not.
// The zero value knows of none.
type peerVersions struct {
	mu sync.Mutex
	// version is the newest that was told, and by the gateway that told it.
	version    catalog.Version
	reportedBy graniteknot.BoxName
	// holder is a gateway that said of itself that it has held; empty for none.
	holder      graniteknot.BoxName
	heldVersion catalog.Version
	// behindSince is when this gateway first was told of one that it has not; zero while it has
	// the newest.
	behindSince time.Time
}

// versionNotice is that a gateway knows of a version; itself tells that it has it.
type versionNotice struct {
	version catalog.Version
	from    graniteknot.BoxName
	held    bool
}

// observe takes in what was told. It returns whether that is news, and whether this gateway,
// which has the version own, falls behind with it.
func (n *peerVersions) observe(t versionNotice, own catalog.Version, now time.Time) (news, behind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.held && t.version > n.heldVersion {
		n.heldVersion, n.holder = t.version, t.from
		news = t.version > own
	}
	if t.version <= n.version || t.version <= own {
		return news, false
	}
	n.version, n.reportedBy = t.version, t.from
	if !n.behindSince.IsZero() {
		return true, false
	}
	n.behindSince = now
	return true, true
}

// holderNewerThan returns a gateway that has a newer version than own; false when none said so.
func (n *peerVersions) holderNewerThan(own catalog.Version) (graniteknot.BoxName, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder, n.heldVersion > own
}

// adopted notes the version that this gateway has now, and returns for how long it was behind.
func (n *peerVersions) adopted(own catalog.Version, now time.Time) (time.Duration, graniteknot.BoxName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.behindSince.IsZero() {
		return 0, ""
	}
	behind := now.Sub(n.behindSince)
	if own >= n.version {
		n.behindSince = time.Time{}
	}
	return behind, n.reportedBy
}

// behindFor returns for how long this gateway has known of a newer version; false when it has
// the newest.
func (n *peerVersions) behindFor(now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.behindSince.IsZero() {
		return 0, false
	}
	return now.Sub(n.behindSince), true
}

// observeVersion takes in that another gateway knows of a version, and has it taken.
func (g *Gateway) observeVersion(t versionNotice, now time.Time) {
	if t.version == 0 {
		return
	}
	tree, age := g.Catalog.Current(now)
	own := catalog.Version(0)
	if tree != nil {
		own = tree.Version
	}
	news, behind := g.peerVersions.observe(t, own, now)
	if behind {
		from := g.settingsSource.Load()
		g.Log.Info("configuration behind", slog.Int64("version", int64(own)), slog.Int64("told", int64(t.version)), slog.String("by", string(t.from)),
			eventlog.Milliseconds("version_age", age), slog.String("proved_by", string(from.peer)), slog.String("read_by", string(from.reader)))
	}
	if news {
		wake(g.peerVersionWake)
	}
}

// isBehind tells whether another gateway is known to have a newer configuration.
func (g *Gateway) isBehind() bool {
	_, behind := g.peerVersions.behindFor(g.Clock.Now())
	return behind
}

// followPeerVersions takes configurations that others have and this gateway has not, as soon as it is
// told of them.
func (g *Gateway) followPeerVersions(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.peerVersionWake:
			g.catchUp(ctx)
		}
	}
}

// catchUp takes configurations until this gateway has the newest that it was told of.
func (g *Gateway) catchUp(ctx context.Context) {
	if len(g.readersToAsk(g.Clock.Now())) == 0 {
		delay.For(ctx, ownReadWait)
	}
	retry := fetchRetry
	for ctx.Err() == nil && g.isBehind() {
		began := time.Now()
		if g.fetchNewer(ctx) {
			retry = fetchRetry
			delay.For(ctx, fetchSpacing-time.Since(began))
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry):
		case <-g.peerVersionWake:
			// A request waits for it.
			delay.For(ctx, fetchRetry/2)
		}
		retry = min(2*retry, maxFetchRetry)
	}
}

// fetchNewer takes a newer configuration from a gateway that said it has one, from one that reads
// for all, or from any.
func (g *Gateway) fetchNewer(ctx context.Context) bool {
	now := g.Clock.Now()
	own := g.ownVersion()
	// It may have come into force by a read that was under way when it was told.
	g.peerVersions.adopted(catalog.Version(own), now)
	if !g.isBehind() {
		return true
	}
	if box, ok := g.peerVersions.holderNewerThan(catalog.Version(own)); ok {
		if peers, known := g.Members.Peers(box); known && g.fetchNewerFrom(ctx, presence.Member{Box: box, Peers: peers}, own) {
			return true
		}
	}
	for _, m := range shuffled(g.readersToAsk(now)) {
		if g.fetchNewerFrom(ctx, m, own) {
			return true
		}
	}
	return g.fetchSettingsFromPeer(ctx)
}

// shuffled returns members in a random order.
func shuffled(list []presence.Member) []presence.Member {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// fetchNewerFrom takes the configuration of a gateway if it is newer.
func (g *Gateway) fetchNewerFrom(ctx context.Context, m presence.Member, own uint64) bool {
	asked := g.Clock.Now()
	answer, err := g.askPeer(ctx, m.Peers, querySettings)
	if err != nil || answer.State <= own {
		return false
	}
	p := confirmation{peer: m, Standing: answer, asOf: asked.Add(-answer.Age)}
	records, ok := g.fetchRecords(ctx, &p, querySettingsPart)
	if !ok {
		return false
	}
	g.applyPeerSettings(records, p.asOf, p.source())
	return g.ownVersion() > own
}

// announceVersion tells others at once of a configuration that came into force, in a large
// deployment: whoever read it tells the relays, and a relay tells its zone, which takes it
// from there.
func (g *Gateway) announceVersion(from recordSource) {
	now := g.Clock.Now()
	if !g.usesReaders(now) {
		return
	}
	if from == g.ownSource() {
		g.socket.Send(g.heartbeat(), g.Members.Audience(g.Config.Box, now))
	}
	wake(g.relayWake)
}

// wake sends to a channel unless something waits there.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
