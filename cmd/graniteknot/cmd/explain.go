package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/internal/core/explain"
)

func registerExplain(app *kingpin.Application, commands registry) {
	c := app.Command("explain", "Tell from log files why a request ended as it did: its decisions in order, what happened meanwhile, and the cause.")
	request := c.Flag("request", "The request's id, as the caller sent it.").Required().String()
	files := c.Arg("log", "Log files of any processes; the more, the more is known.").Required().Strings()
	commands[c.FullCommand()] = func(_ context.Context, o console) error {
		lines, err := readLogs(*files)
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		history, found := explain.Request(lines, *request)
		if !found {
			return fmt.Errorf("no line in %d events names request %q", len(lines), *request)
		}
		return explain.Write(o.out, &history)
	}
}

func readLogs(files []string) ([]explain.Line, error) {
	var out []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := explain.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, lines...)
	}
	return out, nil
}
