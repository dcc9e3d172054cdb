package gateway

import (
	"context"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/demand"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/delay"
)

// demandRefreshInterval is the time between two counts of the own demand: about a pass of an
// engine, after which some of the own requests have ended.
const demandRefreshInterval = 100 * time.Millisecond

// refreshDemandLoop counts the own demand while a service is coordinated.
func (g *Gateway) refreshDemandLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if g.refreshDemand() {
			delay.For(ctx, demandRefreshInterval)
		} else {
			delay.For(ctx, presence.HeartbeatInterval)
		}
	}
}

// refreshDemand counts the own demand, and returns whether a service is coordinated.
func (g *Gateway) refreshDemand() bool {
	now := g.Clock.Now()
	var services []graniteknot.Service
	if tree, _ := g.Catalog.Current(now); tree != nil {
		services = tree.CoordinatedServices()
	}
	own := make([]demand.Own, 0, len(services))
	for _, s := range services {
		ranks, accounts := g.Fleet.OwnDemand(s, now)
		own = append(own, demand.Own{Service: s, Ranks: ranks, Accounts: accounts})
	}
	alive := 1
	if len(services) > 0 {
		alive += g.Members.CountReady(presence.RoleGateway, g.Config.Box, now)
	}
	g.demand.SetOwn(own, alive)
	return len(services) > 0
}

// updateDemand counts and encodes the own demand for the next heartbeat.
func (g *Gateway) updateDemand(now time.Time) {
	g.refreshDemand()
	if err := g.demand.Tell(now); err != nil {
		g.Log.Warn("demand", slog.String("error", err.Error()))
	}
}

// relayDemand sends the demand of all gateways to those of the zone, if a service is coordinated.
func (g *Gateway) relayDemand(now time.Time) {
	sum, err := g.demand.Sum(now)
	if err != nil {
		g.Log.Warn("demand", slog.String("error", err.Error()))
	}
	if sum == nil {
		return
	}
	g.socket.Send(presence.Message{
		Ready: g.ready(), Relay: true, ConfigVersion: g.ownVersion(), StoreLost: g.storeLost.Load(), Bundle: &presence.Bundle{Demand: sum},
	}, g.Members.ZoneGateways(g.self()))
}

// receiveDemand records the demand in another gateway's datagram.
func (g *Gateway) receiveDemand(m *presence.Message, now time.Time) {
	from := demand.Sender{Box: m.Box, Incarnation: m.Incarnation, Sequence: m.Sequence}
	var err error
	if len(m.Demand) > 0 {
		err = g.demand.Receive(from, m.Demand, now)
	} else if m.Bundle != nil && len(m.Bundle.Demand) > 0 {
		err = g.demand.ReceiveSum(from, m.Bundle.Demand, now)
	}
	if err != nil {
		g.malformedDemandLog.Warn(g.Log, "malformed demand", string(m.Box), err.Error())
	}
}

// registerDemandGauges registers the gauges of a coordinated service's demand.
func (g *Gateway) registerDemandGauges(s *catalog.Service) {
	if !s.Coordinated {
		return
	}
	label := meter.Label{Name: "service", Value: string(s.Name)}
	gauge := func(name string, read func(*demand.Totals) float64) {
		g.Meter.Gauge(name, func() float64 {
			totals := g.demand.Totals(s.Name, g.Clock.Now())
			return read(&totals)
		}, label)
	}
	gauge("graniteknot_demand_gateways", func(t *demand.Totals) float64 { return float64(t.Gateways) })
	gauge("graniteknot_demand_own_share", func(t *demand.Totals) float64 { return t.OwnShare })
	gauge("graniteknot_demand_arrivals_per_second", func(t *demand.Totals) float64 { return t.Sum().Arrivals })
	gauge("graniteknot_demand_queued", func(t *demand.Totals) float64 { return float64(t.Sum().Queued) })
	gauge("graniteknot_demand_running", func(t *demand.Totals) float64 { return float64(t.Sum().Running) })
}
