package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/node"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/core/retry"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/stream"
	"graniteknot.org/go/limit"
	"graniteknot.org/go/settings"
)

// addressGrace is how long after an address answer's life an entry that leaves
// still takes new connections, for callers whose clocks run slow.
const addressGrace = time.Second

// Entry is one entry process. Make it with New.
type Entry struct {
	node   *node.Node
	server *node.Server
	routes *routes
	relay  *relay.Relay
	budget *retry.Budget
	limits limit.Accounts
	lender limit.Lender
	chunks stream.Counts
	counts counts
}

type counts struct {
	received, answered, notRun, unknown, limited, rejected atomic.Uint64
}

// New returns an entry on a node. It serves once the node's server starts.
func New(n *node.Node, s *node.Server) *Entry {
	e := &Entry{node: n, server: s, routes: newRoutes()}
	e.budget = &retry.Budget{Percent: func() int64 { return n.Store.Tree().Root().RetryPercent }}
	e.relay = &relay.Relay{
		Agents: n.Client, RouteTables: e.routes, Budget: e.budget, Zone: n.Config.Zone,
		Timeline: n.Timeline, Counts: &e.chunks, Quarantine: &quarantine.Table{},
	}
	s.Router.HandleFunc("/v1/addresses", e.addresses).Methods(http.MethodGet)
	s.Router.HandleFunc("/v1/chat/completions", e.chatCompletions).Methods(http.MethodPost)
	s.Router.HandleFunc("/v1/completions", e.completions).Methods(http.MethodPost)
	s.Router.PathPrefix("/services/{service}").HandlerFunc(e.plain)
	n.Lend = e.lend
	e.metrics()
	return e
}

// Start begins the entry's own work.
func (e *Entry) Start() {
	e.node.Every(wordPeriod, e.wordStep)
	e.node.Every(reportPeriod, e.reportStep)
}

// Leave takes the entry out of the address answers, and returns when the life
// of the last answer that named it has passed, or ctx is done.
func (e *Entry) Leave(ctx context.Context) {
	e.node.Leave(ctx)
	life := e.node.Store.Tree().Root().AddressValid + addressGrace
	timer := time.NewTimer(life)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// newRequestID returns an id that no two requests share.
func newRequestID() graniteknot.RequestID {
	return graniteknot.RequestID(fmt.Sprintf("%016x%08x", rand.Uint64(), rand.Uint32()))
}

func (e *Entry) note(kind timeline.Kind, id graniteknot.RequestID, detail string) {
	e.node.Timeline.Add(timeline.Event{Kind: kind, Request: id, Detail: detail})
}

func (e *Entry) count(r relay.Result) {
	switch r.Outcome {
	case graniteknot.OutcomeAnswered:
		e.counts.answered.Add(1)
	case graniteknot.OutcomeNotRun:
		e.counts.notRun.Add(1)
	case graniteknot.OutcomeUnknown:
		e.counts.unknown.Add(1)
	}
}

func (e *Entry) metrics() {
	c := &e.counts
	for name, n := range map[string]*atomic.Uint64{
		"requests_received": &c.received, "requests_answered": &c.answered, "requests_not_run": &c.notRun,
		"requests_unknown": &c.unknown, "requests_limited": &c.limited, "requests_rejected": &c.rejected,
		"chunks_foreign": &e.chunks.Foreign, "chunks_doubled": &e.chunks.Doubled,
	} {
		e.server.Publish(name, func() any { return n.Load() })
	}
	e.server.Publish("relay", func() any { return e.relay.Stats() })
	e.server.Publish("retries_allowed", func() any { allowed, _ := e.budget.Counts(); return allowed })
	e.server.Publish("retries_denied", func() any { _, denied := e.budget.Counts(); return denied })
	e.server.Publish("accounts_held", func() any { return e.limits.Len() })
	e.server.Publish("routes", func() any { return e.routes.stats() })
}

// caller is who calls and under which version of the settings. A request sees
// that one version from start to end.
type caller struct {
	id      graniteknot.RequestID
	tree    *settings.Tree
	account *settings.AccountView
	arrived time.Time
}
