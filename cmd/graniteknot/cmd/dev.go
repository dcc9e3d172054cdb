package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/internal/core/dev"
	"graniteknot.org/go/internal/core/load"
)

var errBroken = errors.New("a promise was broken")

func registerDev(app *kingpin.Application, commands registry) {
	c := app.Command("dev", "Run entries, agents and stand-ins of both partners in one process on loopback, and play a day.")
	serve := c.Flag("serve", "Stay up, and print addresses, keys and calls to paste.").Bool()
	length := c.Flag("length", "Length of the day.").Default(dev.DefaultDay.Length.String()).Duration()
	var shares load.CallerShares
	c.Flag("slow-callers", "Share of callers that read slowly, from 0 to 1.").Default("0").SetValue(&shareValue{flag: "slow-callers", share: &shares.Slow})
	c.Flag("http10-callers", "Share of callers that speak HTTP/1.0, from 0 to 1.").Default("0").SetValue(&shareValue{flag: "http10-callers", share: &shares.HTTP10})
	c.Flag("once-callers", "Share of callers whose streams may run once, and are lost if they break off, from 0 to 1.").Default("0").
		SetValue(&shareValue{flag: "once-callers", share: &shares.Once})
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		if err := shares.Validate(); err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		day := dev.DefaultDay
		day.Length, day.CallerShares = *length, shares
		return runDev(ctx, o, *serve, day)
	}
}

func runDev(ctx context.Context, o console, serve bool, day dev.Day) error {
	cluster, err := dev.NewCluster(ctx, dev.Options{})
	if err != nil {
		return err
	}
	defer cluster.Kill()
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	if serve {
		return stayUp(ctx, o, cluster)
	}
	result := cluster.Play(ctx, day)
	result.Print(o.out)
	if result.Broken() {
		return errBroken
	}
	return nil
}

func stayUp(ctx context.Context, o console, cluster *dev.Cluster) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, p := range cluster.Partners {
		_, _ = fmt.Fprintf(o.out, "%s\n  key %s\n", p.Name, p.Keys[0])
		for _, e := range p.Entries {
			_, _ = fmt.Fprintf(o.out, "  entry %s %s\n", e.Config.Listen, e.Config.Zone)
		}
	}
	p := cluster.Partners[0]
	entry := p.Entries[0].Config.Listen
	_, _ = fmt.Fprintf(o.out, "\ncurl -H 'Authorization: Bearer %s' 'http://%s/v1/addresses?service=%s'\n", p.Keys[0], entry, p.Model)
	_, _ = fmt.Fprintf(o.out, "curl -N -H 'Authorization: Bearer %s' http://%s/v1/completions -d '{\"model\":\"%s\",\"prompt\":\"Quercus robur\",\"max_tokens\":8,\"stream\":true}'\n",
		p.Keys[0], entry, p.Model)
	<-ctx.Done()
	return nil
}
