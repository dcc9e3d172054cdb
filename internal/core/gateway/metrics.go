package gateway

import (
	"net/http"
	"strconv"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
)

// serveMetrics writes the process's metrics in text format.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	g.Meter.Write(w)
}

// registerGauges registers the gauges of the gateway's state.
func (g *Gateway) registerGauges() {
	g.Meter.Gauge("graniteknot_configuration_age_seconds", func() float64 {
		_, age := g.Catalog.Current(g.Clock.Now())
		return age.Seconds()
	})
	g.Meter.Gauge("graniteknot_configuration_version", func() float64 {
		tree, _ := g.Catalog.Current(g.Clock.Now())
		if tree == nil {
			return 0
		}
		return float64(tree.Version)
	})
	g.Meter.Gauge("graniteknot_configuration_behind_seconds", func() float64 {
		behind, _ := g.peerVersions.behindFor(g.Clock.Now())
		return behind.Seconds()
	})
	g.Meter.Gauge("graniteknot_gateways_alive", func() float64 {
		return float64(g.Members.CountReady(presence.RoleGateway, g.Config.Box, g.Clock.Now()) + 1)
	})
	g.Meter.Gauge("graniteknot_zones_evacuated", func() float64 {
		state := g.Evacuations.State()
		return float64(len(state.Zones))
	})
	g.Meter.Gauge("graniteknot_replicas_known", func() float64 { return float64(len(g.Fleet.IDs())) })
	g.Meter.Gauge("graniteknot_replica_connections_opened", func() float64 { return float64(g.Pool.Opened()) })
	g.Meter.Gauge("graniteknot_prompt_parts_quarantined", func() float64 { return float64(g.Quarantine.QuarantinedParts()) })
	g.Meter.Gauge("graniteknot_requests_quarantined", func() float64 { return float64(g.Quarantine.QuarantinedCount()) })
	g.Meter.Gauge("graniteknot_replicas_limited", func() float64 { return float64(len(g.Fleet.Limits(g.Clock.Now()))) })
	g.Meter.Gauge("graniteknot_buffered_bytes", func() float64 { return float64(g.buffered.Held()) })
	g.Meter.Gauge("graniteknot_buffered_bytes_limit", func() float64 { return float64(g.buffered.Limit()) })
	g.Meter.Gauge("graniteknot_store_renewals", func() float64 { return float64(g.Health.Restores()) })
	g.Meter.Gauge("graniteknot_log_lines_dropped", func() float64 { return float64(g.droppedLogLines()) })
}

// droppedLogLines returns how many log lines were dropped because the log's buffer was full.
func (g *Gateway) droppedLogLines() uint64 {
	if g.LogWriter == nil {
		return 0
	}
	return g.LogWriter.Dropped()
}

// registerServiceGauges registers the gauges of a configuration's services.
func (g *Gateway) registerServiceGauges(tree *catalog.Tree) {
	for _, s := range tree.Services() {
		label := meter.Label{Name: "service", Value: string(s.Name)}
		g.Meter.Gauge("graniteknot_requests_queued", func() float64 { return float64(g.Fleet.Queued(s)) }, label)
		if s.Coordinated {
			g.Meter.Gauge("graniteknot_slots_reserved", func() float64 { return float64(g.Fleet.Reserved(s, g.Clock.Now())) }, label)
			g.Meter.Gauge("graniteknot_queued_requests_gave_way", func() float64 { return float64(g.Fleet.GaveWay(s.Name)) }, label)
		}
		g.Meter.Gauge("graniteknot_replicas_usable", func() float64 {
			_, usable := g.Fleet.Count(s.Name, g.Clock.Now())
			return float64(usable)
		}, label)
		g.registerDemandGauges(s)
		if s.Coordinated {
			g.Meter.Gauge("graniteknot_accounts_over_share", func() float64 {
				return float64(g.Fleet.AccountsOverShare(s.Name, g.Clock.Now()))
			}, label)
		}
	}
}

// countRefusal counts a request that was refused without having run, unless its service is not known.
func (x *exchange) countRefusal(reason string) {
	if x.job == nil {
		return
	}
	x.gateway.Meter.Count("graniteknot_requests_refused_total",
		meter.Label{Name: "service", Value: string(x.job.Service.Name)}, meter.Label{Name: "reason", Value: reason},
		meter.Label{Name: "urgency", Value: strconv.Itoa(int(x.job.Urgency()))})
}

// recordMetrics records the result of a request in the metrics.
func (x *exchange) recordMetrics(r *forward.Result) {
	m := x.gateway.Meter
	kind := meter.Label{Name: "kind", Value: x.job.Route.Kind.String()}
	service := meter.Label{Name: "service", Value: string(x.job.Service.Name)}
	m.Count("graniteknot_requests_total", service, kind,
		meter.Label{Name: "outcome", Value: r.Outcome.String()}, meter.Label{Name: "reason", Value: string(r.Reason)})
	m.Observe("graniteknot_request_seconds", x.gateway.Clock.Since(x.request.ReceivedAt), service, kind)
	if r.Outcome == graniteknot.OutcomeAnswered {
		m.Observe("graniteknot_first_byte_seconds", r.FirstByte, service, kind)
	}
	if r.MaxPause > 0 {
		m.Observe("graniteknot_longest_pause_seconds", r.MaxPause, service)
	}
}
