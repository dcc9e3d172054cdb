package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/directapp"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/wholefile"
	"graniteknot.org/go/platform"
)

// stopMargin is added to a planned stop's own bound before fx gives it up.
const stopMargin = time.Second

func registerGateway(app *kingpin.Application, commands registry) {
	registerDirect(app, commands, directconf.RoleGateway,
		"Run on an entry box of the users' platform: take callers' requests straight to targets.")
}

func registerSidecar(app *kingpin.Application, commands registry) {
	registerDirect(app, commands, directconf.RoleSidecar,
		"Run beside a target on the users' platform: tell the gateways its load, and keep its group's expert map.")
}

// registerDirect adds the command of a role that works straight on targets.
func registerDirect(app *kingpin.Application, commands registry, role directconf.Role, help string) {
	clause := app.Command(string(role), help)
	file := clause.Flag("config", "INI file with the settings of this process.").
		Envar(platform.SettingsVariable).Required().String()
	commands[clause.FullCommand()] = func(ctx context.Context, c console) error {
		return runDirect(ctx, *file, role, c)
	}
}

func runDirect(ctx context.Context, file string, role directconf.Role, c console) error {
	// The read may take a while: a SIGHUP that comes meanwhile doesn't end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	// The watch begins first: no change behind the read goes unnoticed.
	watch, err := wholefile.NewWatch(file)
	if err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("read settings: %w", err)}
	}
	config, err := directconf.Load(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if config.Role != role {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s: [process] role: expected %s", file, role)}
	}
	p, err := directapp.New(directapp.Parts{
		Config: config, Store: platform.NewStore(config.Store), Translator: platform.Dialect{},
		Rank:  func(a graniteknot.Address) held.Rank { return platform.NewRank(a) },
		Lines: eventlog.NewWriter(c.out),
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	if err := p.Start(ctx); err != nil {
		return err
	}
	watched := settingsFile{path: file, role: role, process: p, watch: watch, stop: config.Stop}
	watched.until(signals, hangups)
	ctx, cancel := context.WithTimeout(ctx, watched.stop+stopMargin)
	defer cancel()
	return p.Stop(ctx)
}
