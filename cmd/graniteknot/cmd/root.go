// Package cmd holds the command line, one file for each subcommand. The
// commands read flags and print; the work is done in internal/core.
package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"graniteknot.org/go/internal/inifile"
	"graniteknot.org/go/settings"
)

// The exit codes.
const (
	exitOK = 0
	// exitFailed is for work that failed, and for a broken promise.
	exitFailed = 1
	// exitUsage is for wrong flags and settings, found before anything opens.
	exitUsage = 2
	// exitRefused is for a change that was refused.
	exitRefused = 3
	// exitNotYet is for a change whose fate is not known yet.
	exitNotYet = 4
)

// exitError ends the program with a code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// console is where commands print.
type console struct {
	out, err io.Writer
}

// command runs one subcommand.
type command func(ctx context.Context, c console) error

// registry finds the command that was chosen.
type registry map[string]command

// Main runs the program and returns its exit code.
func Main(args []string) int {
	return Run(args, os.Stdout, os.Stderr)
}

// Run runs the program with other outputs, for tests of whole sessions.
func Run(args []string, out, errs io.Writer) int { return run(args, console{out: out, err: errs}) }

func run(args []string, c console) int {
	app := kingpin.New("graniteknot", "A load balancer for expert-parallel model groups.")
	app.UsageWriter(c.err)
	app.ErrorWriter(c.err)
	ended := -1
	app.Terminate(func(code int) { ended = code })
	verbosity := app.Flag("v", "Verbosity of the log, from 0 to 5.").Default("0").String()
	commands := registry{}
	register(app, commands)
	chosen, err := app.Parse(args)
	if ended >= 0 {
		return ended
	}
	if err != nil {
		_, _ = fmt.Fprintln(c.err, "graniteknot:", err)
		return exitUsage
	}
	setLog(*verbosity)
	defer klog.Flush()
	return code(commands[chosen](context.Background(), c), c)
}

func register(app *kingpin.Application, commands registry) {
	registerEntry(app, commands)
	registerAgent(app, commands)
	registerGateway(app, commands)
	registerSidecar(app, commands)
	registerDev(app, commands)
	registerSettings(app, commands)
	registerAddresses(app, commands)
	registerStatus(app, commands)
	registerTimeline(app, commands)
	registerExplain(app, commands)
	registerLosses(app, commands)
	registerVersions(app, commands)
	registerQuarantine(app, commands)
	registerStandin(app, commands)
}

// code prints an error and tells the exit code.
func code(err error, c console) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(c.err, "graniteknot:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var faults inifile.Faults
	var refused *settings.Error
	if errors.As(err, &faults) || errors.As(err, &refused) {
		return exitUsage
	}
	return exitFailed
}

// logMu guards klog's flags: klog reads them without synchronization while it registers them, and a
// process may run several commands at once.
var logMu sync.Mutex

func setLog(verbosity string) {
	logMu.Lock()
	defer logMu.Unlock()
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", verbosity)
}
