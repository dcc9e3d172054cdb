package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// mostAddresses is the most addresses that callers take from one answer.
const mostAddresses = 64

// answerShare is the part of the longest life of an address answer that is
// given: some callers keep answers for three times as long.
const answerShare = 0.6

// listen opens the gateway's addresses.
func (g *Gateway) listen(ctx context.Context) error {
	c := g.Config
	if err := g.servers.requests(ctx, c.Requests, http.HandlerFunc(g.serve)); err != nil {
		return err
	}
	ready := mux.NewRouter()
	ready.HandleFunc(g.Translator.ReadyPath(), g.answerReady).Methods(http.MethodGet)
	if err := g.servers.plain(ctx, c.Readiness, ready); err != nil {
		return err
	}
	directory := mux.NewRouter()
	directory.HandleFunc(g.Translator.DirectoryPath(), g.answerAddresses).Methods(http.MethodGet)
	if err := g.servers.plain(ctx, c.Directory, directory); err != nil {
		return err
	}
	if c.Metrics == "" {
		return nil
	}
	return g.servers.plain(ctx, c.Metrics, http.HandlerFunc(g.answerMetrics))
}

func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) answerAddresses(w http.ResponseWriter, r *http.Request) {
	g.Translator.AskedFor(r)
	list := g.addresses(g.Clock.Now())
	if len(list) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	life := time.Duration(answerShare * float64(g.bounds.Load().AnswerLife))
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
	out = appendRequests(out, g.Members.ReadyMembers(presence.RoleGateway, g.Config.Box, now))
	if len(out) == 0 {
		out = appendRequests(out, g.Members.Members(presence.RoleGateway, g.Config.Box))
	}
	return out[:min(len(out), mostAddresses)]
}

// appendRequests appends where gateways take requests, of those that say so.
func appendRequests(out []graniteknot.Address, members []presence.Member) []graniteknot.Address {
	for _, m := range members {
		if m.RequestAddress != "" {
			out = append(out, m.RequestAddress)
		}
	}
	return out
}
