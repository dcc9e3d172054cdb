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
	// ownReadPatience is how long a gateway that reads the store itself, when it is told of a
	// newer configuration, waits for its own read to show it.
	ownReadPatience = 150 * time.Millisecond
	// takeSpacing is the least time between two takings, takeRetry and longestTakeRetry bound
	// the pause after one that failed, which doubles.
	takeSpacing      = 200 * time.Millisecond
	takeRetry        = 40 * time.Millisecond
	longestTakeRetry = time.Second
)

// newer knows of the newest configuration that another gateway has and this one has not.
// The zero value knows of none.
type newer struct {
	mu sync.Mutex
	// version is the newest that was told, and by the gateway that told it.
	version catalog.Version
	by      graniteknot.BoxName
	// holder is a gateway that said of itself that it has held; empty for none.
	holder graniteknot.BoxName
	held   catalog.Version
	// since is when this gateway first was told of one that it has not; zero while it has
	// the newest.
	since time.Time
}

// versionNotice is that a gateway knows of a version; itself tells that it has it.
type versionNotice struct {
	version catalog.Version
	by      graniteknot.BoxName
	itself  bool
}

// note takes in what was told. It returns whether that is news, and whether this gateway,
// which has the version own, falls behind with it.
func (n *newer) note(t versionNotice, own catalog.Version, now time.Time) (news, behind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.itself && t.version > n.held {
		n.held, n.holder = t.version, t.by
		news = t.version > own
	}
	if t.version <= n.version || t.version <= own {
		return news, false
	}
	n.version, n.by = t.version, t.by
	if !n.since.IsZero() {
		return true, false
	}
	n.since = now
	return true, true
}

// from returns a gateway that has a newer version than own; false when none said so.
func (n *newer) from(own catalog.Version) (graniteknot.BoxName, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder, n.held > own
}

// taken notes the version that this gateway has now, and returns for how long it was behind.
func (n *newer) taken(own catalog.Version, now time.Time) (time.Duration, graniteknot.BoxName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.since.IsZero() {
		return 0, ""
	}
	behind := now.Sub(n.since)
	if own >= n.version {
		n.since = time.Time{}
	}
	return behind, n.by
}

// behind returns for how long this gateway has known of a newer version; false when it has
// the newest.
func (n *newer) behind(now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.since.IsZero() {
		return 0, false
	}
	return now.Sub(n.since), true
}

// noteVersion takes in that another gateway knows of a version, and has it taken.
func (g *Gateway) noteVersion(t versionNotice, now time.Time) {
	if t.version == 0 {
		return
	}
	tree, age := g.Catalog.Current(now)
	own := catalog.Version(0)
	if tree != nil {
		own = tree.Version
	}
	news, behind := g.newer.note(t, own, now)
	if behind {
		from := g.settingsFrom.Load()
		g.Log.Info("configuration behind", slog.Int64("version", int64(own)), slog.Int64("told", int64(t.version)), slog.String("by", string(t.by)),
			eventlog.Milliseconds("version_age", age), slog.String("proved_by", string(from.by)), slog.String("read_by", string(from.reader)))
	}
	if news {
		wake(g.newerWake)
	}
}

// behind tells whether another gateway is known to have a newer configuration.
func (g *Gateway) behind() bool {
	_, behind := g.newer.behind(g.Clock.Now())
	return behind
}

// takeNewer takes configurations that others have and this gateway has not, as soon as it is
// told of them.
func (g *Gateway) takeNewer(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.newerWake:
			g.takeUntilNewest(ctx)
		}
	}
}

// takeUntilNewest takes configurations until this gateway has the newest that it was told of.
func (g *Gateway) takeUntilNewest(ctx context.Context) {
	if len(g.readers(g.Clock.Now())) == 0 {
		delay.For(ctx, ownReadPatience)
	}
	retry := takeRetry
	for ctx.Err() == nil && g.behind() {
		began := time.Now()
		if g.takeOne(ctx) {
			retry = takeRetry
			delay.For(ctx, takeSpacing-time.Since(began))
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry):
		case <-g.newerWake:
			// A request waits for it.
			delay.For(ctx, takeRetry/2)
		}
		retry = min(2*retry, longestTakeRetry)
	}
}

// takeOne takes a newer configuration from a gateway that said it has one, from one that reads
// for all, or from any.
func (g *Gateway) takeOne(ctx context.Context) bool {
	now := g.Clock.Now()
	own := g.version()
	// It may have come into force by a read that was under way when it was told.
	g.newer.taken(catalog.Version(own), now)
	if !g.behind() {
		return true
	}
	if box, ok := g.newer.from(catalog.Version(own)); ok {
		if peers, known := g.Members.PeerAddress(box); known && g.takeFrom(ctx, presence.Member{Box: box, PeerAddress: peers}, own) {
			return true
		}
	}
	for _, m := range shuffled(g.readers(now)) {
		if g.takeFrom(ctx, m, own) {
			return true
		}
	}
	return g.settingsElsewhere(ctx)
}

// shuffled returns members in a random order.
func shuffled(list []presence.Member) []presence.Member {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// takeFrom takes the configuration of a gateway if it is newer.
func (g *Gateway) takeFrom(ctx context.Context, m presence.Member, own uint64) bool {
	asked := g.Clock.Now()
	answer, err := g.askPeer(ctx, m.PeerAddress, askSettings)
	if err != nil || answer.State <= own {
		return false
	}
	p := proof{from: m, TopicStatus: answer, at: asked.Add(-answer.Age)}
	records, ok := g.take(ctx, &p, askSettingsPart)
	if !ok {
		return false
	}
	g.handSettings(records, p.at, p.source())
	return g.version() > own
}

// tellVersion tells others at once of a configuration that came into force, in a large
// deployment: whoever read it tells the relays, and a relay tells its zone, which takes it
// from there.
func (g *Gateway) tellVersion(from source) {
	now := g.Clock.Now()
	if !g.many(now) {
		return
	}
	if from == g.ownRead() {
		g.socket.Send(g.greeting(), g.Members.DirectGateways(g.Config.Box, now))
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
