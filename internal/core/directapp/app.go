package directapp

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"go.uber.org/fx"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/gateway"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/sidecar"
)

const (
	// memoryShare is the part of the process's memory limit that the heap may
	// reach before the collector works harder.
	memoryShare = 0.7
	// lastLines is how long the last log lines may take.
	lastLines = 200 * time.Millisecond
)

// Parts are what the command line brings.
type Parts struct {
	Config     *directconf.Config
	Store      graniteknot.KeyedStore
	Translator gateway.Translator
	// Rank reaches the replica at an address; sidecars need it.
	Rank  func(graniteknot.Address) held.Rank
	Lines *eventlog.Writer
}

// Process is a gateway or a sidecar. Make it with New.
type Process struct {
	app   *fx.App
	lines *eventlog.Writer
	role  role
}

// New builds the process that its settings describe.
func New(p Parts) (*Process, error) {
	if p.Config.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.Config.Memory)))
	}
	log := eventlog.New(p.Lines, p.Config.Box, string(p.Config.Role))
	born := graniteknot.Incarnation(rand.Uint64())
	module := fx.Module("gateway",
		fx.Supply(gateway.Options{Config: p.Config, Store: p.Store, Translator: p.Translator, Log: log, LogWriter: p.Lines, Meter: meter.New(), Incarnation: born}),
		fx.Provide(fx.Annotate(gateway.New, fx.As(new(role)))), fx.Invoke(run),
	)
	if p.Config.Role == directconf.RoleSidecar {
		module = fx.Module("sidecar",
			fx.Supply(sidecar.Options{Config: p.Config, Store: p.Store, Translator: p.Translator, Rank: p.Rank, Log: log, Lines: p.Lines, Meter: meter.New(), Born: born}),
			fx.Provide(fx.Annotate(sidecar.New, fx.As(new(role)))), fx.Invoke(run),
		)
	}
	made := &Process{lines: p.Lines}
	made.app = fx.New(fx.NopLogger, module, fx.Populate(&made.role))
	return made, made.app.Err()
}

// Reload takes new settings into force, as far as a running process can.
func (p *Process) Reload(c *directconf.Config) { p.role.Reload(c) }

// Start starts the process.
func (p *Process) Start(ctx context.Context) error { return p.app.Start(ctx) }

// Stop is a planned stop. It ends within the bound in the process's settings.
func (p *Process) Stop(ctx context.Context) error {
	err := p.app.Stop(ctx)
	p.lines.Close(lastLines)
	return err
}

// role is what gateway and sidecar have in common here.
type role interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context)
	Reload(c *directconf.Config)
}

func run(l fx.Lifecycle, r role) {
	l.Append(fx.Hook{
		OnStart: r.Start,
		OnStop: func(ctx context.Context) error {
			r.Stop(ctx)
			return nil
		},
	})
}
