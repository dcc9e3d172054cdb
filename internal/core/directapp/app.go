package directapp

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"go.uber.org/fx"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/gateway"
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
	Config *directconf.Config
	Store  graniteknot.KeyedStore
	// Translator is needed by gateways.
	Translator gateway.Translator
	Lines      *eventlog.Writer
}

// Process is a gateway or a sidecar. Make it with New.
type Process struct {
	app   *fx.App
	lines *eventlog.Writer
}

// New builds the process that its settings describe.
func New(p Parts) (*Process, error) {
	if p.Config.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.Config.Memory)))
	}
	log := eventlog.New(p.Lines, p.Config.Box, string(p.Config.Role))
	app := fx.New(
		fx.NopLogger,
		fx.Supply(gateway.Parts{
			Config: p.Config, Store: p.Store, Translator: p.Translator, Log: log, Born: graniteknot.Incarnation(rand.Uint64()),
		}),
		fx.Provide(gateway.New),
		fx.Invoke(runGateway),
	)
	return &Process{app: app, lines: p.Lines}, app.Err()
}

// Start starts the process.
func (p *Process) Start(ctx context.Context) error { return p.app.Start(ctx) }

// Stop is a planned stop. It ends within the bound in the process's settings.
func (p *Process) Stop(ctx context.Context) error {
	err := p.app.Stop(ctx)
	p.lines.Close(lastLines)
	return err
}

func runGateway(l fx.Lifecycle, g *gateway.Gateway) {
	l.Append(fx.Hook{
		OnStart: g.Start,
		OnStop: func(ctx context.Context) error {
			g.Stop(ctx)
			return nil
		},
	})
}
