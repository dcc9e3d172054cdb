package cmd

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/internal/core/losses"
)

func registerLosses(app *kingpin.Application, commands registry) {
	c := app.Command("losses", "Count from log files which requests were refused, lost or late, in which second they came, and why.")
	files := c.Arg("log", "Log files of all gateways and sidecars.").Required().Strings()
	commands[c.FullCommand()] = func(_ context.Context, o console) error {
		lines, err := readLogs(*files)
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		return losses.Count(lines).Write(o.out)
	}
}
