package cmd

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/inspect"
	"graniteknot.org/go/internal/core/link"
	"graniteknot.org/go/internal/core/timeline"
)

func registerTimeline(app *kingpin.Application, commands registry) {
	c := app.Command("timeline", "Merge the recent events of all processes into one time line, causes before effects.")
	address := c.Flag("address", "IP:PORT of any process.").Required().String()
	request := c.Flag("request", "Show one request's whole way.").String()
	format := c.Flag("format", "text, json (a line an event) or trace (Chrome's format, for Perfetto).").
		Default(string(timeline.FormatText)).
		Enum(string(timeline.FormatText), string(timeline.FormatJSON), string(timeline.FormatTrace))
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		client := link.NewClient()
		defer client.Close()
		events, err := inspect.Timeline(ctx, client, graniteknot.Address(*address), graniteknot.RequestID(*request))
		if err != nil {
			return err
		}
		return timeline.Write(o.out, timeline.Format(*format), events)
	}
}
