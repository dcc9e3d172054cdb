package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/presence"
)

// addressTTLShare is the fraction of the configured answer lifetime that an address answer is
// given, because some callers keep answers for three times as long as they are told.
const addressTTLShare = 0.6

// listen opens the gateway's listeners.
func (g *Gateway) listen(ctx context.Context) error {
	c := g.Config
	if err := g.servers.serveCallers(ctx, c.Requests, http.HandlerFunc(g.serve)); err != nil {
		return err
	}
	readiness := mux.NewRouter()
	readiness.HandleFunc(g.Translator.ReadyPath(), g.serveReadiness).Methods(http.MethodGet)
	if err := g.servers.serveHandler(ctx, c.Readiness, readiness); err != nil {
		return err
	}
	directory := mux.NewRouter()
	directory.HandleFunc(g.Translator.DirectoryPath(), g.serveAddresses).Methods(http.MethodGet)
	if err := g.servers.serveHandler(ctx, c.Directory, directory); err != nil {
		return err
	}
	if c.Metrics == "" {
		return nil
	}
	return g.servers.serveHandler(ctx, c.Metrics, http.HandlerFunc(g.serveMetrics))
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	list := g.addressesFor(g.Translator.AskedFor(r), g.Clock.Now())
	if len(list) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := time.Duration(addressTTLShare * float64(g.reloadable.Load().AnswerLife))
	if err := g.Translator.Addresses(w, list, ttl); err != nil {
		g.Log.Warn("address answer not written: " + err.Error())
	}
}

// addressesFor lists the gateways that accept requests, those of the caller's region first.
func (g *Gateway) addressesFor(q AddressQuery, now time.Time) []graniteknot.Address {
	region := catalog.Region(q.Region)
	if region == "" {
		region = g.Config.Zones.Region(q.Zone)
	}
	return appendRequestAddresses(nil, regionFirst(g.accepting(q.Zone, now), g.Config.Zones, region))
}

// accepting returns the gateways that accept requests, for callers of a zone. A gateway that is not
// ready itself and hears of no ready one lists those that it knows.
func (g *Gateway) accepting(zone graniteknot.AvailabilityZone, now time.Time) []presence.Member {
	ready := g.Members.ReadyMembers(presence.RoleGateway, g.Config.Box, now)
	if g.ready() {
		ready = append(ready, g.self())
	}
	if len(ready) == 0 {
		ready = g.Members.Members(presence.RoleGateway, g.Config.Box)
	}
	return selectForZone(ready, zone)
}

// appendRequestAddresses appends the request addresses of those members that have one.
func appendRequestAddresses(out []graniteknot.Address, members []presence.Member) []graniteknot.Address {
	for _, m := range members {
		if m.RequestAddress != "" {
			out = append(out, m.RequestAddress)
		}
	}
	return out
}
