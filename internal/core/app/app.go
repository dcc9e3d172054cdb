// Package app puts the parts of a process together with fx: an entry or an
// agent from its settings, with the order in which its parts start and stop.
package app

import (
	"context"
	"net"
	"sync/atomic"

	"go.uber.org/fx"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/agent"
	"graniteknot.org/go/internal/core/entry"
	"graniteknot.org/go/internal/core/link"
	"graniteknot.org/go/internal/core/node"
	"graniteknot.org/go/internal/core/procconf"
	"graniteknot.org/go/internal/services"
	"graniteknot.org/go/internal/target"
	"graniteknot.org/go/member"
)

// Process is one entry or agent. Make it with New.
type Process struct {
	Config *procconf.Config
	Node   *node.Node

	app     *fx.App
	server  *node.Server
	stopped atomic.Bool
}

// Traffic returns the bytes read from and written to the connections that
// others opened to the process.
func (p *Process) Traffic() (read, written uint64) { return p.server.Traffic() }

// Stopped tells whether Stop or Kill was called.
func (p *Process) Stopped() bool { return p.stopped.Load() }

// New builds the process that its settings describe. A nil listener makes it
// listen at the address in its settings when it starts.
func New(c *procconf.Config, listener net.Listener) (*Process, error) {
	p := &Process{Config: c}
	role := fx.Module("entry", fx.Provide(entry.New), fx.Invoke(runEntry))
	if c.Role == member.RoleAgent {
		role = fx.Module("agent", fx.Provide(newTarget, agent.New), fx.Invoke(runAgent))
	}
	p.app = fx.New(
		fx.NopLogger,
		fx.Supply(c, opener{listener}),
		fx.Provide(newLog, newBoxes, link.NewClient, newNode, node.NewServer),
		fx.Populate(&p.Node, &p.server),
		role,
	)
	return p, p.app.Err()
}

// Start starts the process.
func (p *Process) Start(ctx context.Context) error { return p.app.Start(ctx) }

// Stop is a planned stop: the process goes out of the answers, serves those
// who still hold its address, ends what is in progress, and then stops. When
// ctx is done it ends what is left and tells each asker the truth.
func (p *Process) Stop(ctx context.Context) error {
	p.stopped.Store(true)
	bounded, cancel := context.WithTimeout(ctx, p.Config.StopBound)
	defer cancel()
	// The hooks mind the bound themselves: fx must not skip any of them.
	return p.app.Stop(context.WithValue(context.WithoutCancel(ctx), boundKey{}, bounded))
}

// Kill ends the process at once, as a crash would; for tests.
func (p *Process) Kill() {
	if p.stopped.Swap(true) {
		return
	}
	p.server.Kill()
	p.Node.Stop()
}

// boundKey finds the context that bounds a stop.
type boundKey struct{}

func boundOf(ctx context.Context) context.Context {
	if bound, ok := ctx.Value(boundKey{}).(context.Context); ok {
		return bound
	}
	return ctx
}

// opener holds the listener that the process was given, if any.
type opener struct{ listener net.Listener }

func newLog(c *procconf.Config) graniteknot.Log { return services.NewLog(c.Log) }

func newBoxes(c *procconf.Config) graniteknot.BoxList {
	if c.Boxes == "" {
		return nil
	}
	return services.NewBoxList(c.Boxes)
}

func newTarget(c *procconf.Config) graniteknot.Target {
	if c.TargetKind == procconf.TargetPlain {
		return target.NewPlain(c.Target)
	}
	return target.NewEngine(c.Target)
}

func newNode(c *procconf.Config, l graniteknot.Log, b graniteknot.BoxList, client *link.Client) *node.Node {
	return node.New(node.Parts{Config: c, Log: l, Boxes: b, Client: client})
}

// role is what entry and agent have in common here.
type role interface {
	Start()
	Leave(ctx context.Context)
}

func runEntry(l fx.Lifecycle, o opener, n *node.Node, s *node.Server, e *entry.Entry) {
	run(l, o, n, s, e)
}

func runAgent(l fx.Lifecycle, o opener, n *node.Node, s *node.Server, a *agent.Agent) {
	run(l, o, n, s, a)
}

func run(l fx.Lifecycle, o opener, n *node.Node, s *node.Server, r role) {
	l.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			n.Start(ctx)
			r.Start()
			if o.listener != nil {
				s.Serve(o.listener)
				return nil
			}
			return s.Start()
		},
		OnStop: func(ctx context.Context) error {
			bound := boundOf(ctx)
			r.Leave(bound)
			s.Shutdown(bound)
			n.Stop()
			return nil
		},
	})
}
