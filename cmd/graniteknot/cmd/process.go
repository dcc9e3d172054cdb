package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"graniteknot.org/go/internal/core/app"
	"graniteknot.org/go/internal/core/procconf"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/member"
)

// registerRole adds the command of a role that runs from a settings file.
func registerRole(k *kingpin.Application, commands registry, role member.Role, help string) {
	clause := k.Command(string(role), help)
	file := clause.Flag("config", "INI file with the settings of this process.").Required().String()
	commands[clause.FullCommand()] = func(ctx context.Context, _ console) error {
		return runProcess(ctx, *file, role)
	}
}

func runProcess(ctx context.Context, file string, role member.Role) error {
	config, err := procconf.Load(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if config.Role != role {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s: [process] role: expected %s", file, role)}
	}
	p, err := app.New(config, nil)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	if err := p.Start(ctx); err != nil {
		return err
	}
	<-signals
	klog.InfoS("stopping", "box", config.Box, "bound", config.StopBound)
	return stopOnSecond(ctx, p, signals)
}

// stopOnSecond makes a planned stop, which a second signal cuts short.
func stopOnSecond(ctx context.Context, p *app.Process, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watch group.Group
	defer watch.Stop()
	watch.Go(func(watching context.Context) {
		select {
		case <-signals:
			cancel()
		case <-watching.Done():
		}
	})
	return p.Stop(ctx)
}
