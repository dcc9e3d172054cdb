package gateway

import (
	"context"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/watch"
)

func (g *Gateway) followReplicas(ctx context.Context) {
	g.awaitMembers(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicReplicas, Health: &g.Health, Clock: g.Clock, ReadPause: time.Duration(replicasPauseShare * float64(g.Config.Drain)),
		OnNewest: g.replaceReplicas, OnNext: g.applyReplicas, Revalidate: g.revalidateReplicas, FetchFromPeer: g.fetchReplicasFromPeer, RevalidateInterval: revalidatePause, RevalidateFirst: true,
		ChangePending: g.replicaChangePending, DetectLoss: true, Wake: g.replicasWake,
	}
	f.Run(ctx)
}

// replaceReplicas applies the newest record of each key; a replica without a record has vanished.
func (g *Gateway) replaceReplicas(records []graniteknot.KeyedRecord, began time.Time) {
	g.replicasMu.Lock()
	defer g.replicasMu.Unlock()
	present := map[catalog.ReplicaID]bool{}
	for _, r := range records {
		present[catalog.ReplicaID(r.Key)] = true
	}
	for _, id := range g.Fleet.IDs() {
		if !present[id] {
			g.handleVanished(id)
		}
	}
	g.putReplicas(records, began)
}

// applyPeerReplicas applies the records that another gateway had at the given time. If they are
// newer than this gateway's, a replica without a record is removed: the other gateway keeps those
// whose records vanished during a store outage. This gateway's own access to the store does not
// matter, so that one that the store rejects stops sending to replicas that have left.
func (g *Gateway) applyPeerReplicas(records []graniteknot.KeyedRecord, at time.Time) {
	g.replicasMu.Lock()
	defer g.replicasMu.Unlock()
	now := g.Clock.Now()
	if age, read := g.freshness.age(now); !read || at.After(now.Add(-age)) {
		present := map[catalog.ReplicaID]bool{}
		for _, r := range records {
			present[catalog.ReplicaID(r.Key)] = true
		}
		for _, id := range g.Fleet.IDs() {
			if !present[id] {
				g.removeReplica(id)
			}
		}
	}
	g.putReplicas(records, at)
}

// applyReplicas applies the records that follow those known.
func (g *Gateway) applyReplicas(records []graniteknot.KeyedRecord, began time.Time) {
	g.replicasMu.Lock()
	defer g.replicasMu.Unlock()
	g.putReplicas(records, began)
}

// putReplicas adds, updates or removes the replicas of records. The caller holds g.replicasMu.
func (g *Gateway) putReplicas(records []graniteknot.KeyedRecord, began time.Time) {
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
			// The replica that had this key before is no longer usable either.
			g.reportMalformed("replica", r, err)
			g.removeReplica(catalog.ReplicaID(r.Key))
			continue
		}
		changed := g.Fleet.PutSince(replica, since, now)
		if !g.Fleet.Has(replica.ID) {
			// A record from before the end of its replica, of a gateway that does not know of the
			// end. Others would take it from this one again and again.
			g.recordCache.dropReplica(r.Key)
			continue
		}
		g.recordCache.putReplica(r)
		if changed {
			g.Log.Info("replica", slog.String("replica", r.Key), slog.String("service", string(replica.Service)),
				slog.String("address", string(replica.Address)), slog.Bool("draining", replica.Draining), eventlog.Milliseconds("warmup", replica.Warmup),
				slog.Int64("position", r.At.Offset()))
		}
	}
}

// handleVanished handles a replica record that has vanished. During a store outage, and shortly
// after, records also expire of replicas that are alive and will write them again. The caller holds
// g.replicasMu.
func (g *Gateway) handleVanished(id catalog.ReplicaID) {
	now := g.Clock.Now()
	if g.Health.RecentOutage(now, fleet.LapseGrace) || g.Health.OutageSuspected() {
		if g.Fleet.MarkLapsed(id, now) {
			g.Log.Info("replica lapsed", append(g.Health.LogFields(now), slog.String("replica", string(id)))...)
		}
		return
	}
	g.removeReplica(id)
}

// removeReplica removes a replica and the copy of its record for other gateways. The caller holds
// g.replicasMu.
func (g *Gateway) removeReplica(id catalog.ReplicaID) {
	g.recordCache.dropReplica(string(id))
	if g.Fleet.Remove(id) {
		g.Log.Info("replica gone", slog.String("replica", string(id)))
	}
}
