package gateway

import (
	"context"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/evacuation"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/watch"
)

const (
	// settingsReadWait is how long a read of the settings long-polls for a change. Each read
	// confirms that the configuration is the newest, so this bounds its age. readerReadWait is the
	// same for a gateway that reads for others; it also bounds how long its read may hang before
	// another gateway reads.
	settingsReadWait = 1500 * time.Millisecond
	readerReadWait   = 1200 * time.Millisecond
	// settingsReadSpacing is the minimum interval between two reads. It delays a change by a
	// tenth, at most, of the time in which it has to be in force.
	settingsReadSpacing = 200 * time.Millisecond
	// replicasPauseShare is the pause between two reads of the replica records, which change with
	// every heartbeat, as a fraction of the time after which a leaving replica must get no more
	// requests.
	replicasPauseShare = 0.45
	// outageGrace is how long after an outage of the store for this gateway others are asked about it,
	// and this one's answers do not count as those of a gateway without trouble.
	outageGrace = 2500 * time.Millisecond
	// silenceCheckPeriod is the interval of checkSilence.
	silenceCheckPeriod = 100 * time.Millisecond
	// ageCheckPeriod is the interval of checkAges.
	ageCheckPeriod = 250 * time.Millisecond
)

func (g *Gateway) followSettings(ctx context.Context) {
	g.awaitMembers(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicSettings, Health: &g.Health, Clock: g.Clock, PollWaitFunc: g.readWait, MinReadInterval: settingsReadSpacing,
		Revalidate: g.revalidateSettings, FetchFromPeer: g.fetchSettingsFromPeer, RevalidateInterval: revalidatePause, RevalidateFirst: true,
		OnRestore: func(graniteknot.Era) { g.Catalog.Renew() }, DetectLoss: true, Wake: g.settingsWake,
	}
	f.OnNewest = func(records []graniteknot.KeyedRecord, began time.Time) {
		g.applySettings(records, began, &evacuation.Read{Through: f.Position(), Full: true})
	}
	f.OnNext = func(records []graniteknot.KeyedRecord, began time.Time) {
		g.applySettings(records, began, &evacuation.Read{Through: f.Position()})
	}
	f.Run(ctx)
}

// applySettings applies the records of a read of the store, which may hold nothing new. The
// evacuated zones come into force first: requests are served from the first configuration on.
func (g *Gateway) applySettings(records []graniteknot.KeyedRecord, began time.Time, read *evacuation.Read) {
	newest, record := g.newestTree(records)
	if newest != nil {
		g.Catalog.Show(newest.Version)
	}
	g.applyEvacuations(records, read)
	if newest == nil {
		if g.Catalog.Unchanged(began) {
			from := g.ownSource()
			g.settingsSource.Store(&from)
		}
		return
	}
	g.checkPeersForNewer(newest.Version)
	g.activate(newest, record, began, g.ownSource())
}

// applyPeerSettings applies the configuration of another gateway, which confirmed it at the given
// time. It says nothing about what the store returns.
func (g *Gateway) applyPeerSettings(records []graniteknot.KeyedRecord, at time.Time, from recordSource) {
	if newest, record := g.newestTree(records); newest != nil {
		g.activate(newest, record, at, from)
	}
}

// newestTree parses the last record that is a configuration; nil if there is none.
func (g *Gateway) newestTree(records []graniteknot.KeyedRecord) (newest *catalog.Tree, record graniteknot.KeyedRecord) {
	for _, r := range records {
		tree, err := g.Translator.Tree(r)
		if err != nil {
			g.reportMalformed("configuration", r, err)
			continue
		}
		if tree != nil {
			newest, record = tree, r
		}
	}
	return newest, record
}

// activate puts a configuration into force unless a newer one is.
func (g *Gateway) activate(newest *catalog.Tree, record graniteknot.KeyedRecord, began time.Time, from recordSource) {
	former, _ := g.Catalog.Current(began)
	changed, err := g.Catalog.Offer(newest, began)
	if err != nil {
		g.Log.Warn("configuration refused", slog.Int64("version", int64(newest.Version)), slog.String("error", err.Error()))
		return
	}
	g.settingsSource.Store(&from)
	if changed {
		g.recordCache.putSettings(record)
		g.servers.setLimits(newest.Limits)
		g.removeUnconfigured(newest)
		g.Fleet.SetWarmupRates(newest.WarmupRate, g.Clock.Now())
		g.registerServiceGauges(newest)
		g.warnTooFewConnections(newest)
		g.logActivation(former, newest, began, from)
		g.announceVersion(from)
	}
}

// logActivation logs and counts that a configuration came into force, where it came from, and for
// how long another gateway was known to have a newer one.
func (g *Gateway) logActivation(former, newest *catalog.Tree, began time.Time, from recordSource) {
	now := g.Clock.Now()
	behind, by := g.peerVersions.adopted(newest.Version, now)
	fields := []slog.Attr{
		slog.Int64("version", int64(newest.Version)), slog.Int("routes", newest.RouteCount()),
		eventlog.Milliseconds("read_took", now.Sub(began)), slog.String("by", string(from.peer)), slog.String("read_by", string(from.reader)),
	}
	if former != nil {
		fields = append(fields, slog.Int64("former", int64(former.Version)))
	}
	if names := newest.CoordinatedServices(); len(names) > 0 {
		fields = append(fields, slog.Any("coordinated", names))
	}
	if by != "" {
		fields = append(fields, eventlog.Milliseconds("behind", behind), slog.String("told_by", string(by)))
	}
	g.Log.Info("configuration", fields...)
	origin := "peer"
	if from == g.ownSource() {
		origin = "store"
	}
	g.Meter.Count("graniteknot_configurations_total", meter.Label{Name: "from", Value: origin})
	g.Meter.Observe("graniteknot_configuration_lag_seconds", behind)
}

// warnTooFewConnections warns of services whose replicas accept fewer connections than there are
// gateways. Each gateway still opens one, so the total may exceed what a replica accepts.
func (g *Gateway) warnTooFewConnections(tree *catalog.Tree) {
	for _, s := range tree.Services() {
		if s.MaxConnections > 0 && connShare*float64(s.MaxConnections) < float64(g.gatewayCount()) {
			g.Log.Warn("too few connections", slog.String("service", string(s.Name)), slog.Int("connections", s.MaxConnections), slog.Int("gateways", g.gatewayCount()))
		}
	}
}

// removeUnconfigured removes the replicas of services that the configuration does not contain.
func (g *Gateway) removeUnconfigured(tree *catalog.Tree) {
	g.replicasMu.Lock()
	defer g.replicasMu.Unlock()
	for _, id := range g.Fleet.Unserved(func(s graniteknot.Service) bool { return tree.Service(s) != nil }) {
		g.removeReplica(id)
	}
}

// checkAges logs when the configuration becomes too old to trust keys, or recent enough again.
func (g *Gateway) checkAges() {
	tree, age := g.Catalog.Current(g.Clock.Now())
	if tree == nil {
		return
	}
	stale := !g.trustsKeys(tree, age)
	if g.keysStale.Swap(stale) != stale {
		g.Log.Warn("configuration age", slog.Bool("stale", stale), slog.Int64("version", int64(tree.Version)), eventlog.Milliseconds("age", age))
	}
}

// checkSilence moves requests away from replicas that are cut off. It also removes lapsed replicas,
// sends pending limit messages, announces the loss of the store and expires the forwarder's state.
func (g *Gateway) checkSilence() {
	g.removeLapsed()
	g.sendLimits()
	g.announceStoreLoss()
	g.Forwarder.CancelExpired()
	changed, stuck := g.Fleet.Sweep(g.Clock.Now())
	for _, c := range changed {
		g.Log.Warn("replica silent", slog.String("replica", string(c.Replica)), slog.Bool("silent", c.Silent),
			eventlog.Milliseconds("unheard", c.SilentFor), slog.Int("stuck", len(stuck)))
	}
	for _, l := range stuck {
		l.Reroute()
	}
}
