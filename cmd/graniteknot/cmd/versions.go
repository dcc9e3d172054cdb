package cmd

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/internal/core/versions"
)

func registerVersions(app *kingpin.Application, commands registry) {
	c := app.Command("versions", "Tell from log files how each version of the configuration came to all gateways, and which are behind.")
	files := c.Arg("log", "Log files of all gateways.").Required().Strings()
	commands[c.FullCommand()] = func(_ context.Context, o console) error {
		lines, err := readLogs(*files)
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		return versions.Read(lines).Write(o.out)
	}
}
