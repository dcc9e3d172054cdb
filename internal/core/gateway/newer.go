package gateway

import (
	"log/slog"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/eventlog"
)

// newer knows of the newest configuration that another gateway has and this one has not.
// The zero value knows of none.
type newer struct {
	mu sync.Mutex
	// version is the newest that was told, and by the gateway that told it.
	version catalog.Version
	by      graniteknot.BoxName
	// since is when this gateway first was told of one that it has not; zero while it has
	// the newest.
	since time.Time
}

// note takes in that a gateway has a version. It returns true when this gateway, which has
// the version own, falls behind.
func (n *newer) note(told, own catalog.Version, by graniteknot.BoxName, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if told <= n.version || told <= own {
		return false
	}
	n.version, n.by = told, by
	if !n.since.IsZero() {
		return false
	}
	n.since = now
	return true
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

// behind returns for how long this gateway has known of a newer version; 0 when it has the
// newest.
func (n *newer) behind(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.since.IsZero() {
		return 0
	}
	return now.Sub(n.since)
}

// told takes in the version that another gateway has.
func (g *Gateway) toldVersion(version uint64, by graniteknot.BoxName, now time.Time) {
	if version == 0 {
		return
	}
	tree, age := g.Trees.Current(now)
	own := catalog.Version(0)
	if tree != nil {
		own = tree.Version
	}
	if !g.newer.note(catalog.Version(version), own, by, now) {
		return
	}
	from := g.settingsFrom.Load()
	g.Log.Info("configuration behind", slog.Int64("version", int64(own)), slog.Uint64("told", version), slog.String("by", string(by)),
		eventlog.Milliseconds("version_age", age), slog.String("proved_by", string(from.by)), slog.String("read_by", string(from.reader)))
}
