// Package agent is the process in the slot of a target box: it serves the one
// way to its target. What becomes of a request is decided in package serve.
package agent

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
	"graniteknot.org/go/internal/core/fairq"
	"graniteknot.org/go/internal/core/link"
	"graniteknot.org/go/internal/core/node"
	"graniteknot.org/go/internal/core/orders"
	"graniteknot.org/go/internal/core/serve"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/wire"
)

const (
	// loadPeriod is how often the target is asked for its load.
	loadPeriod = 500 * time.Millisecond
	// addressGrace is how long after an address answer's life a leaving agent
	// still answers for the keys that name it.
	addressGrace = time.Second
	// orderPeriod is how often the wanted version is looked at.
	orderPeriod = time.Second
	// warmTime bounds the warm-up after an order.
	warmTime = 5 * time.Second
	// maxReportedPrefixes bounds the prefixes in one report.
	maxReportedPrefixes = 32
)

// Agent is one agent process. Make it with New.
type Agent struct {
	node   *node.Node
	server *node.Server
	core   *serve.Agent
	target graniteknot.Target
	// orders is nil for targets that take none.
	orders *orders.Giver
	// wanted is used by orderStep alone.
	wanted wanted
}

// New returns an agent on a node. It serves once the node's server starts.
func New(n *node.Node, s *node.Server, target graniteknot.Target) *Agent {
	a := &Agent{node: n, server: s, target: target}
	tree := n.Store.Tree
	a.core = &serve.Agent{
		Address: n.Config.Listen, Incarnation: n.Incarnation, Target: target, Tree: tree, Timeline: n.Timeline,
		Claims: &claim.Table{Incarnation: n.Incarnation, Window: n.Config.ClaimWindow},
		Queue: &fairq.Queue{
			Slots: n.Config.Slots,
			Share: func(p graniteknot.Partner) int64 { return tree().Share(p) },
		},
	}
	if taker, ok := target.(graniteknot.OrderTaker); ok {
		a.orders = &orders.Giver{
			Target: taker, Queue: a.core.Queue, Incarnation: n.Incarnation, Checks: a.checksFences,
			Warm: a.warm,
		}
	}
	unary := wire.NewAgentServer(a)
	s.Router.PathPrefix(unary.PathPrefix()).Handler(unary)
	s.Router.Handle(link.DispatchPath, link.DispatchHandler(dispatcher{a.core})).Methods(http.MethodPost)
	s.Publish("agent", func() any { return a.core.Counts() })
	s.Publish("claims", func() any { return a.core.Claims.Stats() })
	s.Publish("queue", func() any { return a.core.Queue.Load() })
	s.Publish("queue_stats", func() any { return a.core.Queue.Stats() })
	return a
}

// dispatcher fits serve.Agent to package link.
type dispatcher struct{ core *serve.Agent }

// Dispatch implements link.Dispatcher.
func (d dispatcher) Dispatch(ctx context.Context, m *wire.Dispatch, send func(*wire.Chunk) error) error {
	return d.core.Dispatch(ctx, m, send)
}

// Start begins the agent's own work.
func (a *Agent) Start() {
	a.node.Every(loadPeriod, a.loadStep)
	if a.orders != nil {
		a.node.Every(orderPeriod, a.orderStep)
	}
}

func (a *Agent) loadStep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadPeriod)
	defer cancel()
	load, err := a.target.Load(ctx)
	if err != nil {
		klog.V(1).InfoS("the target reports no load", "box", a.node.Config.Box, "err", err)
		return
	}
	load.Prefixes = load.Prefixes[:min(len(load.Prefixes), maxReportedPrefixes)]
	a.core.Observe(load)
}

// Leave refuses new work, and returns when what was in progress has ended or
// ctx is done; then it ends the rest and tells each asker the truth. It goes on
// refusing for the life of the address answers, from when all entries know that it
// leaves, and for as long as requests still come that name it: only it can tell them
// that they did not run.
func (a *Agent) Leave(ctx context.Context) {
	a.core.Leave()
	a.node.Leave(ctx)
	asked := func() uint64 { return a.core.Counts().Dispatched }
	delay.Quiet(ctx, a.node.Store.Tree().Root().AddressValid+addressGrace, addressGrace, asked)
	a.core.Drain(ctx)
}

// Withdraw implements wire.Agent.
func (a *Agent) Withdraw(_ context.Context, r *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	return a.core.Withdraw(r), nil
}

// Report implements wire.Agent.
func (a *Agent) Report(context.Context, *wire.ReportRequest) (*wire.ReportReply, error) {
	return &wire.ReportReply{Load: a.core.Report()}, nil
}
