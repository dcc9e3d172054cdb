package gateway

import (
	"log/slog"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/readers"
)

const (
	// probePeriod is the interval between two calls to a store that does not answer, while other
	// gateways confirm the known state.
	probePeriod = 1500 * time.Millisecond
	// nonReaderProbePeriod is the same for gateways that are not readers. unconfirmedTimeout is
	// how long these rely on readers that answer without confirming anything: long enough for one
	// more query, and short enough that a leaving replica does not get requests for too long.
	nonReaderProbePeriod = 4 * time.Second
	unconfirmedTimeout   = 300 * time.Millisecond
	// readerSettingsMaxAge is the maximum age of a configuration answer for a standby reader. At
	// this age a read of the active reader is overdue; the read before it confirmed what was in
	// force when it began. settingsMaxAge is the same for all other gateways, which may ask a
	// standby reader.
	readerSettingsMaxAge = 2*readerReadWait + 400*time.Millisecond
	settingsMaxAge       = readerSettingsMaxAge + revalidatePause
	// replicasMaxAgeShare is the maximum age of an answer on the replicas, as a fraction of the
	// time after which a leaving replica must get no requests. It covers the interval between two
	// reads and one query interval each of a standby reader and of the gateway that asks it. For a
	// standby reader the maximum, readerReplicasMaxAgeShare, is slightly more than the interval
	// between two reads, replicasPauseShare.
	replicasMaxAgeShare       = 0.70
	readerReplicasMaxAgeShare = 0.49
)

// readersToAsk returns the gateways to ask instead of reading the store; nil if this one has to
// read it. Of the readers, the first one with access to the store reads and the next ones stand
// by: each asks those before it, and reads while none of them confirms anything. All other
// gateways ask any of the readers.
func (g *Gateway) readersToAsk(now time.Time) []presence.Member {
	all := g.allReaders(now)
	for i, m := range all {
		if m.Box == g.Config.Box {
			return all[:i]
		}
	}
	return all
}

// allReaders returns the gateways that read the store for all, including this one if it is a
// reader; nil in a small deployment.
func (g *Gateway) allReaders(now time.Time) []presence.Member {
	selection, self := readers.Selection{Limit: g.Config.Readers}, g.self()
	if selection.Limit == 0 {
		return nil
	}
	g.Members.EachAlive(presence.RoleGateway, g.Config.Box, now, selection.Add)
	selection.Add(&self, g.Health.Lost(now) || g.leavesReading())
	if selection.Added() <= 2*selection.Limit {
		return nil
	}
	return selection.Members()
}

// wakeFollowers makes the store followers check at once whether this gateway has to read.
func (g *Gateway) wakeFollowers() {
	wake(g.settingsWake)
	wake(g.replicasWake)
}

// announceStoreLoss sends a heartbeat at once when this gateway loses access to the store, or
// regains it.
func (g *Gateway) announceStoreLoss() {
	lost := g.Health.Lost(g.Clock.Now()) || g.leavesReading()
	if g.storeLost.Swap(lost) == lost {
		return
	}
	g.Log.Info("reads", slog.Bool("able", !lost))
	g.socket.Send(g.heartbeat(), g.Members.DirectGateways(g.Config.Box, g.Clock.Now()))
}

// checkReaderLosses relays at once, and makes a reader check whether it has to read, after another
// gateway has lost access to the store or regained it.
func (g *Gateway) checkReaderLosses() {
	changes := g.Members.StoreLostChanges()
	if g.seenLossChanges.Swap(changes) == changes {
		return
	}
	wake(g.relayWake)
	if g.isReader(g.Clock.Now()) {
		g.wakeFollowers()
	}
}

// readWait is how long a read of the settings long-polls for a change.
func (g *Gateway) readWait() time.Duration {
	if g.usesReaders(g.Clock.Now()) {
		return readerReadWait
	}
	return settingsReadWait
}

// otherReaders returns all readers except this gateway.
func (g *Gateway) otherReaders(now time.Time) []presence.Member {
	return slices.DeleteFunc(g.allReaders(now), func(m presence.Member) bool { return m.Box == g.Config.Box })
}

// readerAddresses returns the addresses of readersToAsk.
func (g *Gateway) readerAddresses(now time.Time) []graniteknot.Address {
	var out []graniteknot.Address
	for _, m := range g.readersToAsk(now) {
		out = append(out, m.PeerAddress)
	}
	return out
}

// usesReaders reports whether this is a large deployment, in which a few gateways read the store
// for all.
func (g *Gateway) usesReaders(now time.Time) bool {
	limit := g.Config.Readers
	return limit > 0 && g.Members.CountAlive(presence.RoleGateway, g.Config.Box, now)+1 > 2*limit
}

// isAmongFirstReaders reports whether this gateway is one of the first n readers.
func (g *Gateway) isAmongFirstReaders(n int, now time.Time) bool { return len(g.readersToAsk(now)) < n }

// isReader reports whether this gateway is a reader, active or standby.
func (g *Gateway) isReader(now time.Time) bool {
	return len(g.readersToAsk(now)) < g.Config.Readers
}

// shouldCallStore reports whether to call the store after other gateways did not confirm the known
// state. In a large deployment, readers that answer without confirming anything have lost the
// store, as most likely have all gateways. Then each gateway calls it only at intervals, since the
// calls of all gateways add up.
func (g *Gateway) shouldCallStore(kind presence.QueryKind, answered bool, now time.Time) bool {
	if !g.usesReaders(now) {
		return true
	}
	if g.isReader(now) {
		_, up := g.Health.UpSince()
		return up || g.freshness.probeDue(kind, probePeriod, now)
	}
	unconfirmed := g.freshness.unconfirmedFor(kind, answered, now)
	if _, up := g.Health.UpSince(); up && !answered {
		return true
	}
	return (!answered || unconfirmed > unconfirmedTimeout) && g.freshness.probeDue(kind, nonReaderProbePeriod, now)
}

// peersToAsk returns the gateways to ask about a topic; nil if the store is to be read. A gateway
// without access to the store asks those that may have it, and calls the store at intervals.
func (g *Gateway) peersToAsk(kind presence.QueryKind, now time.Time) []presence.Member {
	ahead := g.readersToAsk(now)
	shared := g.usesReaders(now)
	_, up := g.Health.UpSince()
	lost := g.Health.Lost(now)
	switch {
	case shared && !lost, !shared && up:
		return ahead
	case g.freshness.probeDue(kind, probePeriod, now):
		return nil
	case shared:
		return g.otherReaders(now)
	}
	return g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, now)
}

// maxAnswerAge is the maximum age of an answer on a topic for this gateway.
func (g *Gateway) maxAnswerAge(kind presence.QueryKind) time.Duration {
	now := g.Clock.Now()
	reader := g.usesReaders(now) && g.isReader(now)
	switch {
	case kind == querySettings && reader:
		return readerSettingsMaxAge
	case kind == querySettings:
		return settingsMaxAge
	case reader:
		return time.Duration(readerReplicasMaxAgeShare * float64(g.Config.Drain))
	}
	return time.Duration(replicasMaxAgeShare * float64(g.Config.Drain))
}

// peerReadWindow returns the longest time between two reads of the replica records as a gateway
// without access to the store hears of them: the greatest age of an answer and two query intervals,
// since a call to the store may take the place of one query.
func peerReadWindow(drain time.Duration) time.Duration {
	return time.Duration(replicasMaxAgeShare*float64(drain)) + 2*revalidatePause
}
