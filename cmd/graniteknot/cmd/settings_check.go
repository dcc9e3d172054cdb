package cmd

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/internal/wholefile"
	"graniteknot.org/go/settings"
)

func registerSettingsCheck(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("check", "Check the text of a change and report all faults at once.")
	branch := c.Flag("branch", "root, or the partner whose branch it is.").Required().String()
	file := c.Arg("file", "INI file.").Required().String()
	commands[c.FullCommand()] = func(_ context.Context, o console) error {
		text, err := readChange(*file)
		if err != nil {
			return err
		}
		patch, err := settings.ParsePatch(*file, settings.Branch(*branch), text)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(o.out, "%s: %d sections, no faults\n", *file, len(patch.Sections))
		return nil
	}
}

// readChange reads a file that must not change meanwhile: what is signed is what was checked.
func readChange(file string) ([]byte, error) {
	text, err := wholefile.Read(file)
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	return text, nil
}

func registerSettingsKeygen(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("keygen", "Make a partner's key: the private one into a file, the public one to the output.")
	file := c.Arg("file", "File to write the private key to; it must not exist.").Required().String()
	commands[c.FullCommand()] = func(_ context.Context, o console) error {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return err
		}
		if err := writeNew(*file, hex.EncodeToString(private.Seed())+"\n"); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(o.out, hex.EncodeToString(public))
		return nil
	}
}

func writeNew(path, text string) error {
	const ownerOnly = 0o600
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(text); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func registerSettingsSchema(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("schema", "List every key with its sections, unit, default and meaning.")
	commands[c.FullCommand()] = func(_ context.Context, o console) error {
		const minWidth, padding = 0, 2
		w := tabwriter.NewWriter(o.out, minWidth, 0, padding, ' ', 0)
		for _, s := range settings.Schema() {
			levels := make([]string, len(s.Levels))
			for i, l := range s.Levels {
				levels[i] = l.String()
			}
			unit := s.Unit
			if len(s.Words) > 0 {
				unit = strings.Join(s.Words, "|")
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.Key, strings.Join(levels, ","), unit, s.Default, s.Doc)
		}
		return w.Flush()
	}
}
