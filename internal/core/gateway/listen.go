package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// maxAddresses is the most addresses that callers accept in one answer.
const maxAddresses = 64

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
	g.Translator.AskedFor(r)
	list := g.addresses(g.Clock.Now())
	if len(list) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := time.Duration(addressTTLShare * float64(g.reloadable.Load().AnswerLife))
	if err := g.Translator.Addresses(w, list, ttl); err != nil {
		g.Log.Warn("address answer not written: " + err.Error())
	}
}

// addresses lists the gateways that accept requests. A gateway that is not ready itself and hears
// of no ready one lists all it knows.
func (g *Gateway) addresses(now time.Time) []graniteknot.Address {
	var out []graniteknot.Address
	if g.ready() {
		out = append(out, g.Config.Requests)
	}
	out = appendRequestAddresses(out, g.Members.ReadyMembers(presence.RoleGateway, g.Config.Box, now))
	if len(out) == 0 {
		out = appendRequestAddresses(out, g.Members.Members(presence.RoleGateway, g.Config.Box))
	}
	return out[:min(len(out), maxAddresses)]
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
