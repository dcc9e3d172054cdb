package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/inspect"
	"graniteknot.org/go/internal/core/link"
)

func registerStatus(app *kingpin.Application, commands registry) {
	c := app.Command("status", "Show every process that one of them knows: its settings, its word from the log, whom it refuses.")
	address := c.Flag("address", "IP:PORT of any process.").Required().String()
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		client := link.NewClient()
		defer client.Close()
		lines, err := inspect.Status(ctx, client, graniteknot.Address(*address))
		if err != nil {
			return err
		}
		return printStatus(o.out, lines)
	}
}

func printStatus(out io.Writer, lines []inspect.Line) error {
	const minWidth, padding = 0, 2
	w := tabwriter.NewWriter(out, minWidth, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(w, "ADDRESS\tROLE\tBOX\tPARTNER\tZONE\tSTATE\tOFFSET\tDIGEST\tCONFIRMED\tREFUSED")
	for _, l := range lines {
		if l.Err != nil {
			_, _ = fmt.Fprintf(w, "%s\t\t\t\t\tunreachable\t\t\t\t\n", l.Address)
			continue
		}
		s := l.Status
		state := "serving"
		if s.GetLeaving() {
			state = "leaving"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%016x\t%s\t%d\n", l.Address, s.GetRole(), s.GetBox(),
			s.GetPartner(), s.GetZone(), state, s.GetSettingsOffset(), s.GetSettingsDigest(), l.Confirmed(),
			len(s.GetRefusals()))
	}
	return w.Flush()
}
