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
	// probePeriod is the time between two calls to a store that does not answer
	// while other gateways prove what is known.
	probePeriod = 1500 * time.Millisecond
	// rareProbe is the same for gateways that others read for, and doubtPatience for how
	// long these rely on readers that answer and prove nothing: one question more, so that a
	// replica that leaves gets nothing for too long.
	rareProbe     = 4 * time.Second
	doubtPatience = 300 * time.Millisecond
	// standbySettings is how old an answer on the configuration may be to a gateway that stands
	// by: the age at which the one that reads has a read overdue, which proved what was in force
	// at the begin of the one before. settingsTrust is the same for all others, which may ask one
	// that stands by.
	standbySettings = 2*readerWait + 400*time.Millisecond
	settingsTrust   = standbySettings + revalidatePause
	// replicasTrust is the same on the replicas, as a part of the time after which a
	// leaving replica must get nothing: the time between two reads and that between two
	// questions, of a reader that stands by and of the asker. A gateway that stands by
	// trusts for a little longer than the time between two reads, replicasShare.
	replicasTrust   = 0.70
	standbyReplicas = 0.49
)

// readers returns the gateways to ask in place of reading the store; nil when this one
// has to read itself. The first that the store answers reads, the next ones stand by: each asks
// those before it, and reads while none of them proves anything. All others ask any of these.
func (g *Gateway) readers(now time.Time) []presence.Member {
	all := g.allReaders(now)
	for i, m := range all {
		if m.Box == g.Config.Box {
			return all[:i]
		}
	}
	return all
}

// allReaders returns the gateways that read the store for all, this one included; nil in
// a small deployment.
func (g *Gateway) allReaders(now time.Time) []presence.Member {
	most := g.Config.Readers
	all := append(g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, now), g.self())
	if most == 0 || len(all) <= 2*most {
		return nil
	}
	return readers.Order(all, func(box graniteknot.BoxName) bool {
		if box == g.Config.Box {
			return g.Health.Lost(now)
		}
		return g.Members.StoreLost(box)
	})[:most]
}

// wakeFollowers has those that follow the store look at once who reads it.
func (g *Gateway) wakeFollowers() {
	wake(g.settingsWake)
	wake(g.replicasWake)
}

// tellLost tells the others at once when the store is lost to this gateway, or answers it again.
func (g *Gateway) tellLost() {
	lost := g.Health.Lost(g.Clock.Now())
	if g.lost.Swap(lost) == lost {
		return
	}
	g.Log.Info("reads", slog.Bool("able", !lost))
	g.socket.Send(g.greeting(), g.Members.DirectGateways(g.Config.Box, g.Clock.Now()))
}

// heardOfReaders looks who reads once others are heard to have lost the store, or to have it
// again.
func (g *Gateway) heardOfReaders() {
	changes := g.Members.StoreLostChanges()
	if g.lostChanges.Swap(changes) == changes {
		return
	}
	wake(g.relayWake)
	if g.standsBy(g.Clock.Now()) {
		g.wakeFollowers()
	}
}

// settingsWait is how long a read of the settings waits for a change.
func (g *Gateway) settingsWait() time.Duration {
	if g.many(g.Clock.Now()) {
		return readerWait
	}
	return settingsWait
}

// otherReaders returns the readers but for this gateway.
func (g *Gateway) otherReaders(now time.Time) []presence.Member {
	return slices.DeleteFunc(g.allReaders(now), func(m presence.Member) bool { return m.Box == g.Config.Box })
}

// readersPeers returns where the readers are asked.
func (g *Gateway) readersPeers(now time.Time) []graniteknot.Address {
	var out []graniteknot.Address
	for _, m := range g.readers(now) {
		out = append(out, m.PeerAddress)
	}
	return out
}

// many tells whether this is a large deployment, in which readers read for all.
func (g *Gateway) many(now time.Time) bool {
	most := g.Config.Readers
	return most > 0 && len(g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, now))+1 > 2*most
}

// readsFirst tells whether this gateway is among the first that read for all.
func (g *Gateway) readsFirst(n int, now time.Time) bool { return len(g.readers(now)) < n }

// standsBy tells whether this gateway reads as soon as the readers before it do not.
func (g *Gateway) standsBy(now time.Time) bool {
	return len(g.readers(now)) < g.Config.Readers
}

// mayCall tells whether this gateway is to call the store although others could prove
// what it knows and did not. In a large deployment, where readers answer but prove
// nothing, the store is away for them, and most likely for all: then it is called now
// and then only: calls of all that each call as often as a single one would add up.
func (g *Gateway) mayCall(kind presence.QueryKind, answered bool, now time.Time) bool {
	if !g.many(now) {
		return true
	}
	if g.standsBy(now) {
		_, up := g.Health.UpSince()
		return up || g.validity.probeDue(kind, probePeriod, now)
	}
	doubted := g.validity.doubt(kind, answered, now)
	if _, up := g.Health.UpSince(); up && !answered {
		return true
	}
	return (!answered || doubted > doubtPatience) && g.validity.probeDue(kind, rareProbe, now)
}

// provers returns the gateways to ask about a topic; nil when the store is to be
// read. A gateway that the store does not answer asks those that it does answer, and calls the
// store now and then.
func (g *Gateway) provers(kind presence.QueryKind, now time.Time) []presence.Member {
	before := g.readers(now)
	many := g.many(now)
	_, up := g.Health.UpSince()
	lost := g.Health.Lost(now)
	switch {
	case many && !lost, !many && up:
		return before
	case g.validity.probeDue(kind, probePeriod, now):
		return nil
	case many:
		return g.otherReaders(now)
	}
	return g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, now)
}

// trust is how old an answer on a topic may be to this gateway.
func (g *Gateway) trust(kind presence.QueryKind) time.Duration {
	now := g.Clock.Now()
	reads := g.many(now) && g.standsBy(now)
	switch {
	case kind == askSettings && reads:
		return standbySettings
	case kind == askSettings:
		return settingsTrust
	case reads:
		return time.Duration(standbyReplicas * float64(g.Config.Drain))
	}
	return time.Duration(replicasTrust * float64(g.Config.Drain))
}
