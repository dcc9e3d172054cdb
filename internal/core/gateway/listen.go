package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// maxAddresses is the most addresses that callers take from one answer.
const maxAddresses = 64

// addressTTLShare is the part of the longest life of an address answer that is
// given: some callers keep answers for three times as long.
const addressTTLShare = 0.6

// listen opens the gateway's addresses.
func (g *Gateway) listen(ctx context.Context) error {
	c := g.Config
	if err := g.servers.serveCallers(ctx, c.Requests, http.HandlerFunc(g.serve)); err != nil {
		return err
	}
	ready := mux.NewRouter()
	ready.HandleFunc(g.Translator.ReadyPath(), g.serveReadiness).Methods(http.MethodGet)
	if err := g.servers.serveHandler(ctx, c.Readiness, ready); err != nil {
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
	life := time.Duration(addressTTLShare * float64(g.reloadable.Load().AnswerLife))
	if err := g.Translator.Addresses(w, list, life); err != nil {
		g.Log.Warn("address answer: " + err.Error())
	}
}

// addresses lists the gateways that take requests. One that is not ready itself
// and hears of no other names those it knows.
func (g *Gateway) addresses(now time.Time) []graniteknot.Address {
	var out []graniteknot.Address
	if g.ready() {
		out = append(out, g.Config.Requests)
	}
	out = appendRequestAddresses(out, g.Members.Alive(presence.RoleGateway, g.Config.Box, now))
	if len(out) == 0 {
		out = appendRequestAddresses(out, g.Members.Members(presence.RoleGateway, g.Config.Box))
	}
	return out[:min(len(out), maxAddresses)]
}

// appendRequestAddresses appends where gateways take requests, of those that say so.
func appendRequestAddresses(out []graniteknot.Address, members []presence.Member) []graniteknot.Address {
	for _, m := range members {
		if m.Requests != "" {
			out = append(out, m.Requests)
		}
	}
	return out
}
