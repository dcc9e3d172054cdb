package cmd

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/platform"
)

// quarantineTime bounds a command's calls to the store.
const quarantineTime = 10 * time.Second

func registerQuarantine(app *kingpin.Application, commands registry) {
	c := app.Command("quarantine", "List or release what is kept from replicas on the users' platform since it crashes them.")
	store := c.Flag("store", "Address of the platform's store.").Required().String()
	registerQuarantineList(c, store, commands)
	registerQuarantineRelease(c, store, commands)
}

func registerQuarantineList(parent *kingpin.CmdClause, store *string, commands registry) {
	c := parent.Command("list", "List the quarantined requests and prompt parts.")
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		ctx, cancel := context.WithTimeout(ctx, quarantineTime)
		defer cancel()
		s := platform.NewStore(graniteknot.Address(*store))
		defer s.Close()
		page, err := s.Newest(ctx, graniteknot.TopicQuarantine)
		if err != nil {
			return err
		}
		return printQuarantine(o, page.Records)
	}
}

// printQuarantine prints a line for each record; malformed ones are reported.
func printQuarantine(o console, records []graniteknot.KeyedRecord) error {
	w := tabwriter.NewWriter(o.out, 0, 1, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "IDENTITY\tKIND\tCRASHED\tSURVIVED\tQUARANTINED")
	var malformed []error
	for _, r := range records {
		e, err := quarantine.DecodeRecord(r)
		if err != nil {
			malformed = append(malformed, err)
			continue
		}
		if e.Released {
			continue
		}
		kind := "request"
		if e.Part {
			kind = "part"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\n", e.Key, kind, len(e.CrashedReplicas), len(e.Survived), e.Quarantined())
	}
	return errors.Join(append(malformed, w.Flush())...)
}

func registerQuarantineRelease(parent *kingpin.CmdClause, store *string, commands registry) {
	c := parent.Command("release", "Let a request or prompt part reach replicas again.")
	identity := c.Flag("identity", "Identity of the request or part, as logs and the list give it.").String()
	model := c.Flag("model", "Model of the part.").String()
	part := c.Flag("part", "The part, as ID:TOKENS.").String()
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		key, err := quarantineKey(*identity, *model, *part)
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		record, err := quarantine.EncodeRecord(&quarantine.Entry{Key: key, Released: true})
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, quarantineTime)
		defer cancel()
		s := platform.NewStore(graniteknot.Address(*store))
		defer s.Close()
		if _, err := s.Append(ctx, graniteknot.TopicQuarantine, record); err != nil {
			return err
		}
		_, err = fmt.Fprintln(o.out, "released", key)
		return err
	}
}

// quarantineKey returns the key that the flags name.
func quarantineKey(identity, model, part string) (quarantine.Key, error) {
	if (identity == "") == (part == "") {
		return quarantine.Key{}, errors.New("name either --identity or --part")
	}
	if identity != "" {
		return quarantine.ParseKey(identity)
	}
	p, ok := platform.ParsePromptPart(part)
	if !ok {
		return quarantine.Key{}, fmt.Errorf("invalid part %.40q: expected ID:TOKENS, the ID in hex", part)
	}
	return quarantine.KeyOfPart(model, p.ID, p.Tokens), nil
}
