package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/boxes"
	"graniteknot.org/go/internal/standin/engine"
	"graniteknot.org/go/internal/standin/logstore"
	"graniteknot.org/go/internal/standin/plain"
)

// registerStandin adds a command for each stand-in that runs as a process.
func registerStandin(app *kingpin.Application, commands registry) {
	parent := app.Command("standin", "Run a stand-in for the platform or for a target, for trying and testing.")
	registerStandinLog(parent, commands)
	registerStandinBoxes(parent, commands)
	registerStandinEngine(parent, commands)
	registerStandinPlain(parent, commands)
}

func listenFlag(c *kingpin.CmdClause) *string {
	return c.Flag("listen", "IP:PORT to listen at.").Required().String()
}

func registerStandinLog(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("log", "An append-only log, kept in memory. POST /faults switches outage, slowness and lost answers.")
	listen := listenFlag(c)
	retention := c.Flag("retention", "Records kept in each stream; 0 for all.").Default("0").Int()
	rate := c.Flag("rate", "Appends a second; 0 for no bound.").Default("400").Int()
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		store := &logstore.Store{Retention: *retention, Rate: *rate}
		return serveStandin(ctx, o, *listen, store.Handler())
	}
}

func registerStandinBoxes(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("boxes", "An empty list of boxes.")
	listen := listenFlag(c)
	lag := c.Flag("lag", "How late a change shows.").Default("2s").Duration()
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		return serveStandin(ctx, o, *listen, (&boxes.List{Lag: *lag}).Handler())
	}
}

func registerStandinEngine(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("engine", "A model engine whose tokens depend on the prompt alone.")
	listen := listenFlag(c)
	step := c.Flag("step", "Time of one step.").Default(engine.DefaultStep.String()).Duration()
	batch := c.Flag("batch", "Sequences that run at once.").Default("32").Int()
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		e := engine.New(engine.Config{Step: *step, Batch: *batch})
		defer e.Stop()
		return serveStandin(ctx, o, *listen, e.Handler())
	}
}

func registerStandinPlain(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("plain", "A plain service that counts how often each body was entered.")
	listen := listenFlag(c)
	delay := c.Flag("delay", "Time of one call.").Default("5ms").Duration()
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		return serveStandin(ctx, o, *listen, &plain.Service{Delay: *delay})
	}
}

func serveStandin(ctx context.Context, o console, listen string, h http.Handler) error {
	const headerTime, lastWords = 10 * time.Second, time.Second
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: headerTime}
	var g group.Group
	defer g.Stop()
	g.Go(func(ending context.Context) {
		select {
		case <-ctx.Done():
		case <-ending.Done():
		}
		last, cancel := context.WithTimeout(context.Background(), lastWords)
		defer cancel()
		_ = server.Shutdown(last)
	})
	_, _ = fmt.Fprintln(o.out, "listening at", listen)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
