package gateway

import (
	"log/slog"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/evacuation"
	"graniteknot.org/go/internal/core/presence"
)

// Evacuated zones are records of the settings topic. The gateways that read the store send each
// change to the relays, and these to the gateways of their zones. Heartbeats and answers about the
// settings repeat it.

// applyEvacuations applies what a read of the settings topic returned about evacuated zones.
func (g *Gateway) applyEvacuations(records []graniteknot.KeyedRecord, read *evacuation.Read) {
	read.Behind = g.Catalog.Behind()
	for _, r := range records {
		if change, ok := g.Translator.Evacuation(r); ok {
			read.Changes = append(read.Changes, change)
		}
	}
	if g.Evacuations.Apply(read) {
		g.applyEvacuatedZones(string(g.Config.Box))
		g.socket.Send(g.heartbeat(), g.Members.DirectGateways(g.Config.Box, g.Clock.Now()))
	}
}

// receiveEvacuations applies the evacuated zones in another gateway's datagram.
func (g *Gateway) receiveEvacuations(m *presence.Message) {
	if len(m.Evacuations) == 0 {
		return
	}
	s, _, err := evacuation.Decode(m.Evacuations)
	if err != nil {
		g.Log.Warn("evacuated zones", slog.String("by", string(m.Box)), slog.String("error", err.Error()))
		return
	}
	g.mergeEvacuations(&s, string(m.Box))
}

// mergeEvacuations applies the evacuated zones that another gateway knows.
func (g *Gateway) mergeEvacuations(s *evacuation.State, from string) {
	if s.Known() && g.Evacuations.Merge(s) {
		g.applyEvacuatedZones(from)
	}
}

// applyEvacuatedZones applies the evacuated zones, as learned from a process, to the replicas, and
// relays them.
func (g *Gateway) applyEvacuatedZones(from string) {
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	state := g.Evacuations.State()
	g.Fleet.SetEvacuated(state.Zones, g.Clock.Now())
	if _, fits := state.Append(nil); !fits {
		g.Log.Warn("too many evacuated zones for a datagram", slog.Int("zones", len(state.Zones)))
	}
	g.Log.Info("evacuated zones", slog.Any("zones", state.Zones), slog.String("position", state.Through.String()), slog.String("by", from))
	wake(g.relayWake)
}

// encodedEvacuations returns the evacuated zones for a datagram; nil if none ever were.
func (g *Gateway) encodedEvacuations() []byte {
	if !g.Evacuations.Used() {
		return nil
	}
	state := g.Evacuations.State()
	out, _ := state.Append(nil)
	return out
}
