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
	// ownReadWait is how long a gateway that reads the store itself waits for its own read to
	// return a newer configuration that it was told of.
	ownReadWait = 150 * time.Millisecond
	// fetchSpacing is the minimum interval between two fetches. After a failed one the pause
	// starts at fetchRetry and doubles up to maxFetchRetry.
	fetchSpacing  = 200 * time.Millisecond
	fetchRetry    = 40 * time.Millisecond
	maxFetchRetry = time.Second
)

// peerVersions tracks the newest configuration version that other gateways have and this one
// lacks. The zero value is ready to use.
type peerVersions struct {
	mu sync.Mutex
	// version is the newest reported version, and reportedBy the gateway that reported it.
	version    catalog.Version
	reportedBy graniteknot.BoxName
	// holder is a gateway that reported to have heldVersion itself; empty for none.
	holder      graniteknot.BoxName
	heldVersion catalog.Version
	// behindSince is when this gateway was first told of a version that it lacks; zero while it
	// has the newest.
	behindSince time.Time
}

// versionNotice reports that a gateway knows of a version; held is set if it has that version
// itself.
type versionNotice struct {
	version catalog.Version
	from    graniteknot.BoxName
	held    bool
}

// observe records a notice. It returns whether the notice is new, and whether this gateway, which
// has the version own, falls behind because of it.
func (p *peerVersions) observe(notice versionNotice, own catalog.Version, now time.Time) (news, behind bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if notice.held && notice.version > p.heldVersion {
		p.heldVersion, p.holder = notice.version, notice.from
		news = notice.version > own
	}
	if notice.version <= p.version || notice.version <= own {
		return news, false
	}
	p.version, p.reportedBy = notice.version, notice.from
	if !p.behindSince.IsZero() {
		return true, false
	}
	p.behindSince = now
	return true, true
}

// holderNewerThan returns a gateway that has a newer version than own; false if none reported one.
func (p *peerVersions) holderNewerThan(own catalog.Version) (graniteknot.BoxName, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder, p.heldVersion > own
}

// adopted records the version that this gateway has now, and returns for how long it was behind
// and which gateway reported the newer version.
func (p *peerVersions) adopted(own catalog.Version, now time.Time) (time.Duration, graniteknot.BoxName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.behindSince.IsZero() {
		return 0, ""
	}
	behind := now.Sub(p.behindSince)
	if own >= p.version {
		p.behindSince = time.Time{}
	}
	return behind, p.reportedBy
}

// behindFor returns for how long this gateway has known of a newer version; false if it has the
// newest.
func (p *peerVersions) behindFor(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.behindSince.IsZero() {
		return 0, false
	}
	return now.Sub(p.behindSince), true
}

// observeVersion records that another gateway knows of a version, and starts fetching it if it is
// newer.
func (g *Gateway) observeVersion(notice versionNotice, now time.Time) {
	if notice.version == 0 {
		return
	}
	tree, age := g.Catalog.Current(now)
	own := catalog.Version(0)
	if tree != nil {
		own = tree.Version
	}
	news, behind := g.peerVersions.observe(notice, own, now)
	if behind {
		from := g.settingsSource.Load()
		g.Log.Info("configuration behind", slog.Int64("version", int64(own)), slog.Int64("told", int64(notice.version)), slog.String("by", string(notice.from)),
			eventlog.Milliseconds("version_age", age), slog.String("proved_by", string(from.peer)), slog.String("read_by", string(from.reader)))
	}
	if news {
		wake(g.peerVersionWake)
	}
}

// isBehind reports whether another gateway is known to have a newer configuration.
func (g *Gateway) isBehind() bool {
	_, behind := g.peerVersions.behindFor(g.Clock.Now())
	return behind
}

// followPeerVersions fetches newer configurations from other gateways as soon as it learns of
// them.
func (g *Gateway) followPeerVersions(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.peerVersionWake:
			g.catchUp(ctx)
		}
	}
}

// catchUp fetches configurations until this gateway has the newest version that it knows of.
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
			// Another notice came, or a request is waiting for the newer configuration.
			delay.For(ctx, fetchRetry/2)
		}
		retry = min(2*retry, maxFetchRetry)
	}
}

// fetchNewer fetches a newer configuration from a gateway that reported to have one, else from a
// reader, else from any gateway.
func (g *Gateway) fetchNewer(ctx context.Context) bool {
	now := g.Clock.Now()
	own := g.ownVersion()
	// The version may have been adopted by a read that was in progress when the notice came.
	g.peerVersions.adopted(catalog.Version(own), now)
	if !g.isBehind() {
		return true
	}
	if box, ok := g.peerVersions.holderNewerThan(catalog.Version(own)); ok {
		if peers, known := g.Members.PeerAddress(box); known && g.fetchNewerFrom(ctx, presence.Member{Box: box, PeerAddress: peers}, own) {
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

// shuffled shuffles members in place and returns them.
func shuffled(list []presence.Member) []presence.Member {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// fetchNewerFrom fetches the configuration of a gateway if it is newer than own.
func (g *Gateway) fetchNewerFrom(ctx context.Context, m presence.Member, own uint64) bool {
	asked := g.Clock.Now()
	answer, err := g.askPeer(ctx, m.PeerAddress, querySettings)
	if err != nil || answer.State <= own {
		return false
	}
	c := confirmation{peer: m, TopicStatus: answer, asOf: asked.Add(-answer.Age)}
	records, ok := g.fetchRecords(ctx, &c, querySettingsPart)
	if !ok {
		return false
	}
	g.applyPeerSettings(records, c.asOf, c.source())
	return g.ownVersion() > own
}

// announceVersion announces a configuration that came into force, in a large deployment. The
// gateway that read it from the store tells the relays, and the relays tell the gateways of their
// zones, which fetch it from them.
func (g *Gateway) announceVersion(from recordSource) {
	now := g.Clock.Now()
	if !g.usesReaders(now) {
		return
	}
	if from == g.ownSource() {
		g.socket.Send(g.heartbeat(), g.Members.DirectGateways(g.Config.Box, now))
	}
	wake(g.relayWake)
}

// wake signals a channel without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
