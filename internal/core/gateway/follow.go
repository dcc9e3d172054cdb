package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/watch"
)

const (
	// settingsReadWait is how long one read of the settings waits for a change. Each
	// read proves that the tree is the newest, so it bounds the tree's age. readerWait is the
	// same for a gateway that reads for others, which bounds for how long a read may hang
	// before another one reads.
	settingsReadWait = 1500 * time.Millisecond
	readerReadWait   = 1200 * time.Millisecond
	// settingsReadSpacing is the least time between two reads: a change is seen so much later
	// at most, a tenth of the time in which it has to be in force.
	settingsReadSpacing = 200 * time.Millisecond
	// replicasPauseShare is the time between two reads of the replicas' records, which
	// change with every heartbeat, as a part of the time after which a leaving
	// replica must get no more requests.
	replicasPauseShare = 0.45
	// outageGrace is how long after an outage of the store a vanished record is
	// not taken for the replica's end.
	outageGrace = 2500 * time.Millisecond
	// silenceCheckPeriod is how often silent replicas are looked for.
	silenceCheckPeriod = 100 * time.Millisecond
	// ageCheckPeriod is how often lapsed records and the tree's age are looked at.
	ageCheckPeriod = 250 * time.Millisecond
)

func (g *Gateway) followSettings(ctx context.Context) {
	g.awaitMembers(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicSettings, Health: &g.Health, Clock: g.Clock, WaitNow: g.readWait, Spacing: settingsReadSpacing,
		Newest: g.applySettings, Next: g.applySettings, Revalidate: g.revalidateSettings, Elsewhere: g.fetchSettingsFromPeer, RevalidatePause: revalidatePause, Early: true,
		Renewed: func(graniteknot.Era) { g.Catalog.Renew() }, Vital: true, Wake: g.settingsWake,
	}
	f.Run(ctx)
}

// applySettings takes in what a read of the store showed, which may be nothing new.
func (g *Gateway) applySettings(records []graniteknot.KeyedRecord, began time.Time) {
	newest, record := g.newestTree(records)
	if newest == nil {
		if g.Catalog.Unchanged(began) {
			from := g.ownSource()
			g.settingsSource.Store(&from)
		}
		return
	}
	g.Catalog.Show(newest.Version)
	g.checkPeersForNewer(newest.Version)
	g.activate(newest, record, began, g.ownSource())
}

// applyPeerSettings takes the configuration that another gateway has, which it proved at a time.
// It says nothing of what the store shows.
func (g *Gateway) applyPeerSettings(records []graniteknot.KeyedRecord, at time.Time, from recordSource) {
	if newest, record := g.newestTree(records); newest != nil {
		g.activate(newest, record, at, from)
	}
}

// newestTree reads the last record that is a configuration; nil where none is.
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

// activate takes a configuration into force unless a newer one is.
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
		g.registerServiceGauges(newest)
		g.warnTooFewConnections(newest)
		g.logActivation(former, newest, began, from)
		g.announceVersion(from)
	}
}

// logActivation tells that a configuration came into force, from whom, and for how long another
// gateway was known to have a newer one.
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
	if by != "" {
		fields = append(fields, eventlog.Milliseconds("behind", behind), slog.String("told_by", string(by)))
	}
	g.Log.Info("configuration", fields...)
	way := "peer"
	if from == g.ownSource() {
		way = "store"
	}
	g.Meter.Count("graniteknot_configurations_total", meter.Label{Name: "from", Value: way})
	g.Meter.Observe("graniteknot_configuration_lag_seconds", behind)
}

// warnTooFewConnections tells of services whose replicas take fewer connections than there are
// gateways: each keeps one all the same, and their sum may pass what a replica takes.
func (g *Gateway) warnTooFewConnections(tree *catalog.Tree) {
	for _, s := range tree.Services() {
		if s.MaxConnections > 0 && connShare*float64(s.MaxConnections) < float64(g.gatewayCount()) {
			g.Log.Warn("too few connections", slog.String("service", string(s.Name)), slog.Int("connections", s.MaxConnections), slog.Int("gateways", g.gatewayCount()))
		}
	}
}

// removeUnconfigured takes out the replicas of services that a configuration does not name.
func (g *Gateway) removeUnconfigured(tree *catalog.Tree) {
	for _, id := range g.Fleet.Unserved(func(s graniteknot.Service) bool { return tree.Service(s) != nil }) {
		g.removeReplica(id)
	}
}

func (g *Gateway) followReplicas(ctx context.Context) {
	g.awaitMembers(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicReplicas, Health: &g.Health, Clock: g.Clock, Pause: time.Duration(replicasPauseShare * float64(g.Config.Drain)),
		Newest: g.replaceReplicas, Next: g.applyReplicas, Revalidate: g.revalidateReplicas, Elsewhere: g.fetchReplicasFromPeer, RevalidatePause: revalidatePause, Early: true,
		Urgent: func() bool { return g.Fleet.Doubted(g.Clock.Now()) }, Vital: true, Wake: g.replicasWake,
	}
	f.Run(ctx)
}

// replaceReplicas takes the newest records; a replica without one has vanished.
func (g *Gateway) replaceReplicas(records []graniteknot.KeyedRecord, began time.Time) {
	there := map[catalog.ReplicaID]bool{}
	for _, r := range records {
		there[catalog.ReplicaID(r.Key)] = true
	}
	for _, id := range g.Fleet.IDs() {
		if !there[id] {
			g.handleVanished(id)
		}
	}
	g.applyReplicas(records, began)
}

// applyPeerReplicas takes the records that another gateway knows as of a time. If that is
// newer than what this one knows, a replica without a record is gone: the other one keeps
// those whose records vanished while the store was not to be trusted. Whether this
// gateway's own way to the store is disturbed does not matter, so that one that the store
// turns away sends nothing to a replica that has left.
func (g *Gateway) applyPeerReplicas(records []graniteknot.KeyedRecord, at time.Time) {
	now := g.Clock.Now()
	if age, read := g.freshness.age(now); !read || at.After(now.Add(-age)) {
		there := map[catalog.ReplicaID]bool{}
		for _, r := range records {
			there[catalog.ReplicaID(r.Key)] = true
		}
		for _, id := range g.Fleet.IDs() {
			if !there[id] {
				g.removeReplica(id)
			}
		}
	}
	g.applyReplicas(records, at)
}

func (g *Gateway) applyReplicas(records []graniteknot.KeyedRecord, began time.Time) {
	now := g.Clock.Now()
	since := g.freshness.lastConfirmed()
	defer g.freshness.confirm(began)
	for _, r := range records {
		if len(r.Value) == 0 {
			g.handleVanished(catalog.ReplicaID(r.Key))
			continue
		}
		replica, err := g.parseReplica(r)
		if err != nil {
			// Whatever stood under the key before names no replica any more.
			g.reportMalformed("replica", r, err)
			g.removeReplica(catalog.ReplicaID(r.Key))
			continue
		}
		g.recordCache.putReplica(r)
		if g.Fleet.PutSince(replica, since, now) {
			g.Log.Info("replica", slog.String("replica", r.Key), slog.String("service", string(replica.Service)),
				slog.String("address", string(replica.Address)), slog.Bool("draining", replica.Draining),
				slog.Int64("position", r.At.Offset()))
		}
	}
}

// parseReplica reads a parseReplica's record. One of a service that the configuration does not name
// names no parseReplica to use either; it could else stand for one at the same address.
func (g *Gateway) parseReplica(r graniteknot.KeyedRecord) (catalog.Replica, error) {
	replica, err := g.Translator.Replica(r)
	if err != nil {
		return replica, err
	}
	tree, _ := g.Catalog.Current(g.Clock.Now())
	if tree != nil && tree.Service(replica.Service) == nil {
		return replica, fmt.Errorf("service %.80q is not configured", replica.Service)
	}
	return replica, nil
}

// reportMalformed counts and tells a record that can't be used. Whoever writes to the store can
// write as many as he likes.
func (g *Gateway) reportMalformed(what string, r graniteknot.KeyedRecord, err error) {
	g.Meter.Count("graniteknot_malformed_records_total", meter.Label{Name: "record", Value: what})
	g.malformedLog.Warn(g.Log, "malformed "+what, r.Key, err.Error(), slog.Int64("position", r.At.Offset()))
}

// handleVanished acts on a record that is gone. While the store is away, and shortly
// after, records lapse that live replicas will write again.
func (g *Gateway) handleVanished(id catalog.ReplicaID) {
	if g.Health.Doubtful(g.Clock.Now(), outageGrace) {
		if g.Fleet.Lapse(id, g.Clock.Now()) {
			g.Log.Info("replica lapsed", slog.String("replica", string(id)))
		}
		return
	}
	g.removeReplica(id)
}

// removeReplica forgets a replica.
func (g *Gateway) removeReplica(id catalog.ReplicaID) {
	g.recordCache.dropReplica(string(id))
	if g.Fleet.Remove(id) {
		g.Log.Info("replica gone", slog.String("replica", string(id)))
	}
}

// checkAges removes replicas that did not come back, and tells when the
// configuration becomes too old to trust keys, or new enough again.
func (g *Gateway) checkAges() {
	if back, up := g.Health.Back(); up {
		for _, id := range g.Fleet.Expire(back, g.Clock.Now()) {
			g.recordCache.dropReplica(string(id))
			g.Log.Info("replica gone", slog.String("replica", string(id)), slog.Bool("lapsed", true))
		}
	}
	tree, age := g.Catalog.Current(g.Clock.Now())
	if tree == nil {
		return
	}
	stale := !g.trustsKeys(tree, age)
	if g.keysStale.Swap(stale) != stale {
		g.Log.Warn("configuration age", slog.Bool("stale", stale), slog.Int64("version", int64(tree.Version)), eventlog.Milliseconds("age", age))
	}
}

// checkSilence moves requests away from replicas that are cut off.
func (g *Gateway) checkSilence() {
	g.sendLimits()
	g.announceStoreLoss()
	g.Forwarder.Expire()
	changed, stuck := g.Fleet.Watch(g.Clock.Now())
	for _, c := range changed {
		g.Log.Warn("replica silent", slog.String("replica", string(c.Replica)), slog.Bool("silent", c.Silent),
			eventlog.Milliseconds("unheard", c.Unheard), slog.Int("stuck", len(stuck)))
	}
	for _, l := range stuck {
		l.Move()
	}
}
