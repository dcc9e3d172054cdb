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
	// settingsWait is how long one read of the settings waits for a change. Each
	// read proves that the tree is the newest, so it bounds the tree's age. readerWait is the
	// same for a gateway that reads for others, which bounds for how long a read may hang
	// before another one reads.
	settingsWait = 1500 * time.Millisecond
	readerWait   = 1200 * time.Millisecond
	// settingsSpacing is the least time between two reads: a change is seen so much later
	// at most, a tenth of the time in which it has to be in force.
	settingsSpacing = 200 * time.Millisecond
	// replicasShare is the time between two reads of the replicas' records, which
	// change with every heartbeat, as a part of the time after which a leaving
	// replica must get no more requests.
	replicasShare = 0.45
	// doubtTime is how long after an outage of the store a vanished record is
	// not taken for the replica's end.
	doubtTime = 2500 * time.Millisecond
	// silencePeriod is how often silent replicas are looked for.
	silencePeriod = 100 * time.Millisecond
	// lookPeriod is how often lapsed records and the tree's age are looked at.
	lookPeriod = 250 * time.Millisecond
)

func (g *Gateway) followSettings(ctx context.Context) {
	g.meet(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicSettings, Health: &g.Health, Clock: g.Clock, PollWaitFunc: g.settingsWait, MinReadInterval: settingsSpacing,
		OnNewest: g.takeSettings, OnNext: g.takeSettings, Revalidate: g.revalidateSettings, FetchFromPeer: g.settingsElsewhere, RevalidateInterval: revalidatePause, RevalidateFirst: true,
		OnRestore: func(graniteknot.Era) { g.Catalog.Renew() }, DetectLoss: true, Wake: g.settingsWake,
	}
	f.Run(ctx)
}

// takeSettings takes in what a read of the store showed, which may be nothing new.
func (g *Gateway) takeSettings(records []graniteknot.KeyedRecord, began time.Time) {
	newest, record := g.newestTree(records)
	if newest == nil {
		if g.Catalog.Unchanged(began) {
			from := g.ownRead()
			g.settingsFrom.Store(&from)
		}
		return
	}
	g.Catalog.Show(newest.Version)
	g.askBeforeFirst(newest.Version)
	g.offer(newest, record, began, g.ownRead())
}

// handSettings takes the configuration that another gateway has, which it proved at a time.
// It says nothing of what the store shows.
func (g *Gateway) handSettings(records []graniteknot.KeyedRecord, at time.Time, from source) {
	if newest, record := g.newestTree(records); newest != nil {
		g.offer(newest, record, at, from)
	}
}

// newestTree reads the last record that is a configuration; nil where none is.
func (g *Gateway) newestTree(records []graniteknot.KeyedRecord) (newest *catalog.Tree, record graniteknot.KeyedRecord) {
	for _, r := range records {
		tree, err := g.Translator.Tree(r)
		if err != nil {
			g.malformed("configuration", r, err)
			continue
		}
		if tree != nil {
			newest, record = tree, r
		}
	}
	return newest, record
}

// offer takes a configuration into force unless a newer one is.
func (g *Gateway) offer(newest *catalog.Tree, record graniteknot.KeyedRecord, began time.Time, from source) {
	former, _ := g.Catalog.Current(began)
	changed, err := g.Catalog.Offer(newest, began)
	if err != nil {
		g.Log.Warn("configuration refused", slog.Int64("version", int64(newest.Version)), slog.String("error", err.Error()))
		return
	}
	g.settingsFrom.Store(&from)
	if changed {
		g.shared.putSettings(record)
		g.servers.limit(newest.Limits)
		g.forgetUnconfigured(newest)
		g.serviceGauges(newest)
		g.warnOfConnections(newest)
		g.logInForce(former, newest, began, from)
		g.tellVersion(from)
	}
}

// logInForce tells that a configuration came into force, from whom, and for how long another
// gateway was known to have a newer one.
func (g *Gateway) logInForce(former, newest *catalog.Tree, began time.Time, from source) {
	now := g.Clock.Now()
	behind, by := g.newer.taken(newest.Version, now)
	fields := []slog.Attr{
		slog.Int64("version", int64(newest.Version)), slog.Int("routes", newest.RouteCount()),
		eventlog.Milliseconds("read_took", now.Sub(began)), slog.String("by", string(from.by)), slog.String("read_by", string(from.reader)),
	}
	if former != nil {
		fields = append(fields, slog.Int64("former", int64(former.Version)))
	}
	if by != "" {
		fields = append(fields, eventlog.Milliseconds("behind", behind), slog.String("told_by", string(by)))
	}
	g.Log.Info("configuration", fields...)
	way := "peer"
	if from == g.ownRead() {
		way = "store"
	}
	g.Meter.Count("graniteknot_configurations_total", meter.Label{Name: "from", Value: way})
	g.Meter.Observe("graniteknot_configuration_lag_seconds", behind)
}

// warnOfConnections tells of services whose replicas take fewer connections than there are
// gateways: each keeps one all the same, and their sum may pass what a replica takes.
func (g *Gateway) warnOfConnections(tree *catalog.Tree) {
	for _, s := range tree.Services() {
		if s.MaxConnections > 0 && connShare*float64(s.MaxConnections) < float64(g.gateways()) {
			g.Log.Warn("too few connections", slog.String("service", string(s.Name)), slog.Int("connections", s.MaxConnections), slog.Int("gateways", g.gateways()))
		}
	}
}

// forgetUnconfigured takes out the replicas of services that a configuration does not name.
func (g *Gateway) forgetUnconfigured(tree *catalog.Tree) {
	for _, id := range g.Fleet.Unserved(func(s graniteknot.Service) bool { return tree.Service(s) != nil }) {
		g.gone(id)
	}
}

func (g *Gateway) followReplicas(ctx context.Context) {
	g.meet(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicReplicas, Health: &g.Health, Clock: g.Clock, ReadPause: time.Duration(replicasShare * float64(g.Config.Drain)),
		OnNewest: g.resetReplicas, OnNext: g.takeReplicas, Revalidate: g.revalidateReplicas, FetchFromPeer: g.replicasElsewhere, RevalidateInterval: revalidatePause, RevalidateFirst: true,
		ChangePending: func() bool { return g.Fleet.RecordsStale(g.Clock.Now()) }, DetectLoss: true, Wake: g.replicasWake,
	}
	f.Run(ctx)
}

// resetReplicas takes the newest records; a replica without one has vanished.
func (g *Gateway) resetReplicas(records []graniteknot.KeyedRecord, began time.Time) {
	there := map[catalog.ReplicaID]bool{}
	for _, r := range records {
		there[catalog.ReplicaID(r.Key)] = true
	}
	for _, id := range g.Fleet.IDs() {
		if !there[id] {
			g.vanished(id)
		}
	}
	g.takeReplicas(records, began)
}

// handReplicas takes the records that another gateway knows as of a time. If that is
// newer than what this one knows, a replica without a record is gone: the other one keeps
// those whose records vanished while the store was not to be trusted. Whether this
// gateway's own way to the store is disturbed does not matter, so that one that the store
// turns away sends nothing to a replica that has left.
func (g *Gateway) handReplicas(records []graniteknot.KeyedRecord, at time.Time) {
	now := g.Clock.Now()
	if age, read := g.validity.age(now); !read || at.After(now.Add(-age)) {
		there := map[catalog.ReplicaID]bool{}
		for _, r := range records {
			there[catalog.ReplicaID(r.Key)] = true
		}
		for _, id := range g.Fleet.IDs() {
			if !there[id] {
				g.gone(id)
			}
		}
	}
	g.takeReplicas(records, at)
}

func (g *Gateway) takeReplicas(records []graniteknot.KeyedRecord, began time.Time) {
	now := g.Clock.Now()
	since := g.validity.since()
	defer g.validity.prove(began)
	for _, r := range records {
		if len(r.Value) == 0 {
			g.vanished(catalog.ReplicaID(r.Key))
			continue
		}
		replica, err := g.replica(r)
		if err != nil {
			// Whatever stood under the key before names no replica any more.
			g.malformed("replica", r, err)
			g.gone(catalog.ReplicaID(r.Key))
			continue
		}
		g.shared.putReplica(r)
		if g.Fleet.PutSince(replica, since, now) {
			g.Log.Info("replica", slog.String("replica", r.Key), slog.String("service", string(replica.Service)),
				slog.String("address", string(replica.Address)), slog.Bool("draining", replica.Draining),
				slog.Int64("position", r.At.Offset()))
		}
	}
}

// replica reads a replica's record. One of a service that the configuration does not name
// names no replica to use either; it could else stand for one at the same address.
func (g *Gateway) replica(r graniteknot.KeyedRecord) (catalog.Replica, error) {
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

// malformed counts and tells a record that can't be used. Whoever writes to the store can
// write as many as he likes.
func (g *Gateway) malformed(what string, r graniteknot.KeyedRecord, err error) {
	g.Meter.Count("graniteknot_malformed_records_total", meter.Label{Name: "record", Value: what})
	g.odd.Warn(g.Log, "malformed "+what, r.Key, err.Error(), slog.Int64("position", r.At.Offset()))
}

// vanished acts on a record that is gone. While the store is away, and shortly
// after, records lapse that live replicas will write again.
func (g *Gateway) vanished(id catalog.ReplicaID) {
	if g.Health.RecentOutage(g.Clock.Now(), doubtTime) {
		if g.Fleet.MarkLapsed(id, g.Clock.Now()) {
			g.Log.Info("replica lapsed", slog.String("replica", string(id)))
		}
		return
	}
	g.gone(id)
}

// gone forgets a replica.
func (g *Gateway) gone(id catalog.ReplicaID) {
	g.shared.dropReplica(string(id))
	if g.Fleet.Remove(id) {
		g.Log.Info("replica gone", slog.String("replica", string(id)))
	}
}

// look removes replicas that did not come back, and tells when the
// configuration becomes too old to trust keys, or new enough again.
func (g *Gateway) look() {
	if back, up := g.Health.UpSince(); up {
		for _, id := range g.Fleet.RemoveLapsed(back, g.Clock.Now()) {
			g.shared.dropReplica(string(id))
			g.Log.Info("replica gone", slog.String("replica", string(id)), slog.Bool("lapsed", true))
		}
	}
	tree, age := g.Catalog.Current(g.Clock.Now())
	if tree == nil {
		return
	}
	stale := !g.trusts(tree, age)
	if g.stale.Swap(stale) != stale {
		g.Log.Warn("configuration age", slog.Bool("stale", stale), slog.Int64("version", int64(tree.Version)), eventlog.Milliseconds("age", age))
	}
}

// watchSilence moves requests away from replicas that are cut off.
func (g *Gateway) watchSilence() {
	g.sendLimitsNow()
	g.tellLost()
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
