package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/readers"
	"graniteknot.org/go/internal/core/watch"
)

// Records of live replicas expire while the store is unavailable to all, and are written again soon
// after. A gateway to which alone the store was unavailable must not take a record that vanished, of
// a replica that has left, for an expired one: so after each outage it asks others whether they had
// access to the store.

const (
	// outageCheckPeriod is the interval at which others are asked about an outage.
	outageCheckPeriod = 200 * time.Millisecond
	// noticeMargin is how long after the start of a call that gets no answer a process surely has
	// noticed that.
	noticeMargin = 400 * time.Millisecond
)

const queryWitness presence.QueryKind = 23

// outageSettle is how long after an outage was noticed others have noticed it too, if it affected
// them: the pause between two reads of the replica records, and the time until one is overdue.
func outageSettle(drain time.Duration) time.Duration {
	return time.Duration(replicasPauseShare*float64(drain)) + noticeMargin
}

// explainOutage asks other gateways about an outage that has just ended, and removes the replicas
// that were taken for lapsed if only this gateway was affected.
func (g *Gateway) explainOutage(ctx context.Context) {
	if g.Health.OutageSuspected() {
		accounts := g.askWitnesses(ctx)
		if !g.Health.JudgeSuspicion(accounts) {
			g.removeAllLapsed()
			return
		}
		g.Log.Info("store outage confirmed", append(g.Health.LogFields(g.Clock.Now()), slog.Int("asked", len(accounts)))...)
	}
	if !g.Health.OutageUnexplained(g.Clock.Now(), outageGrace) {
		g.outageContested.Store(false)
		return
	}
	accounts := g.askWitnesses(ctx)
	now := g.Clock.Now()
	settle := time.Duration(0)
	if g.usesReaders(now) {
		settle = outageSettle(g.Config.Drain)
	}
	verdict := g.Health.Judge(accounts, settle, now)
	g.outageContested.Store(verdict == watch.VerdictContested)
	if verdict != watch.VerdictLocal {
		return
	}
	g.Log.Info("store outage was local", append(g.Health.LogFields(now), slog.Int("asked", len(accounts)))...)
	g.removeAllLapsed()
}

// removeAllLapsed removes the replicas that were taken for lapsed, unless there was an outage that may
// have affected all.
func (g *Gateway) removeAllLapsed() {
	g.replicasMu.Lock()
	defer g.replicasMu.Unlock()
	if g.Health.RecentOutage(g.Clock.Now(), fleet.LapseGrace) {
		return
	}
	for _, id := range g.Fleet.Lapsed() {
		g.removeReplica(id)
	}
}

// witnesses returns the gateways to ask about an outage: in a large deployment those that read the store
// now, and those that read it while all have access to it, else a few of all.
func (g *Gateway) witnesses(now time.Time) []presence.Member {
	if !g.usesReaders(now) {
		peers := shuffled(g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, now))
		return peers[:min(revalidateTries, len(peers))]
	}
	usual := readers.Selection{Limit: g.Config.Readers}
	g.Members.EachAlive(presence.RoleGateway, g.Config.Box, now, func(m *presence.Member, _ bool) { usual.Add(m, false) })
	peers := g.otherReaders(now)
	for _, m := range usual.Members() {
		if !slices.ContainsFunc(peers, func(other presence.Member) bool { return other.Box == m.Box }) {
			peers = append(peers, m)
		}
	}
	return peers
}

// askWitnesses asks other gateways at the same time whether they had access to the store.
func (g *Gateway) askWitnesses(ctx context.Context) []watch.Account {
	bounded, cancel := context.WithTimeout(ctx, revalidateTimeout)
	defer cancel()
	var mu sync.Mutex
	var accounts []watch.Account
	var asking sync.WaitGroup
	for _, m := range g.witnesses(g.Clock.Now()) {
		asking.Go(func() {
			asked := g.Clock.Now()
			body, err := g.socket.Ask(bounded, m.PeerAddress, queryWitness, nil)
			if err != nil {
				return
			}
			w, err := readers.DecodeWitness(body)
			if err != nil {
				g.Log.Warn("witness", slog.String("peer", string(m.Box)), slog.String("error", err.Error()))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accounts = append(accounts, watch.Account{AskedAt: asked, Witness: w})
		})
	}
	asking.Wait()
	return accounts
}

// replicaChangePending reports whether replica records are to be read soon: some may be back after an
// outage, or vanish while it is not known yet what to make of that.
func (g *Gateway) replicaChangePending() bool {
	now := g.Clock.Now()
	return g.Fleet.RecordsStale(now) || g.Fleet.HasLapsed() || g.Health.OutageUnexplained(now, fleet.LapseGrace)
}

// leavesReading reports whether other gateways should read the store for all, although it answers this
// one: this one has lapsed replicas, and others that had access to the store know whether they left.
func (g *Gateway) leavesReading() bool { return g.outageContested.Load() && g.Fleet.HasLapsed() }

// removeLapsed removes the replicas that did not come back after a store outage.
func (g *Gateway) removeLapsed() {
	suspected := g.Health.OutageSuspected()
	back, up := g.Health.UpSince()
	if !up || suspected {
		g.Fleet.KeepLapsed()
		return
	}
	g.replicasMu.Lock()
	defer g.replicasMu.Unlock()
	for _, id := range g.Fleet.RemoveLapsed(back, g.Clock.Now()) {
		g.recordCache.dropReplica(string(id))
		g.Log.Info("replica gone", slog.String("replica", string(id)), slog.Bool("lapsed", true))
	}
}
