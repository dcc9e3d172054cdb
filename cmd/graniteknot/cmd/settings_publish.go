package cmd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/core/inspect"
	"graniteknot.org/go/internal/core/link"
	"graniteknot.org/go/internal/core/publish"
	"graniteknot.org/go/internal/services"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

// publishFlags are the flags of settings publish.
type publishFlags struct {
	log     *logFlags
	branch  string
	partner string
	keyFile string
	against int64
	id      string
	wait    string
	timeout time.Duration
	file    string
}

func registerSettingsPublish(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("publish", "Publish a change and tell what became of it. Exit 3: refused; exit 4: not accepted yet.")
	f := &publishFlags{log: addLogFlags(c)}
	c.Flag("branch", "root, or the partner's own branch.").Required().StringVar(&f.branch)
	c.Flag("partner", "Who publishes.").Required().StringVar(&f.partner)
	c.Flag("key-file", "The partner's private key.").Required().StringVar(&f.keyFile)
	c.Flag("against", "Version of the branch that the change was made against; -1 for the one in force.").
		Default("-1").Int64Var(&f.against)
	c.Flag("id", "Identity of the change. Publishing again with the same id never doubles it.").StringVar(&f.id)
	c.Flag("wait", "IP:PORT of any process: return once the change is in force at all that it knows.").StringVar(&f.wait)
	c.Flag("timeout", "How long to wait.").Default("15s").DurationVar(&f.timeout)
	c.Arg("file", "INI file.").Required().StringVar(&f.file)
	commands[c.FullCommand()] = func(ctx context.Context, o console) error { return runPublish(ctx, o, f) }
}

func runPublish(ctx context.Context, o console, f *publishFlags) error {
	text, err := readChange(f.file)
	if err != nil {
		return err
	}
	if _, err := settings.ParsePatch(f.file, settings.Branch(f.branch), text); err != nil {
		return err
	}
	publisher, err := newPublisher(f)
	if err != nil {
		return err
	}
	if f.id == "" {
		f.id = fmt.Sprintf("%s-%016x", f.partner, rand.Uint64())
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	change := &wire.Change{Id: f.id, Branch: f.branch, Against: f.against, Text: string(text)}
	answer, err := publisher.Publish(ctx, change)
	if e := tellFate(o, f.id, answer, err); e != nil || f.wait == "" || answer.Fate != fold.StatusAccepted {
		return e
	}
	return waitForce(ctx, o, graniteknot.Address(f.wait), answer.Offset)
}

func newPublisher(f *publishFlags) (*publish.Publisher, error) {
	trust, err := f.log.parse()
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(f.keyFile)
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	key, err := parsePrivateKey(text)
	if err != nil {
		return nil, err
	}
	return &publish.Publisher{
		Log: services.NewLog(graniteknot.Address(f.log.log)), Trust: trust,
		Partner: graniteknot.Partner(f.partner), Key: key,
	}, nil
}

// tellFate prints what became of a change.
func tellFate(o console, id string, a publish.Answer, err error) error {
	switch a.Fate {
	case fold.StatusAccepted:
		_, _ = fmt.Fprintf(o.out, "accepted at offset %d, id %s\n", a.Offset, id)
	case fold.StatusPending:
		_, _ = fmt.Fprintf(o.out, "pending at offset %d, id %s: %s\n", a.Offset, id, a.Reason)
	case fold.StatusRefused:
		return &exitError{code: exitRefused, err: fmt.Errorf("refused at offset %d, id %s, because: %s", a.Offset, id, a.Reason)}
	case fold.StatusNone:
		reason := a.Reason
		if err != nil {
			reason += ": " + err.Error()
		}
		return &exitError{code: exitNotYet, err: fmt.Errorf("id %s: %s", id, reason)}
	}
	return nil
}

// waitForce waits until a change is in force at every process that answers.
func waitForce(ctx context.Context, o console, from graniteknot.Address, offset graniteknot.Offset) error {
	const pause = 100 * time.Millisecond
	client := link.NewClient()
	defer client.Close()
	begun := time.Now()
	late := []string{"nobody answered"}
	for {
		lines, err := inspect.Status(ctx, client, from)
		if ctx.Err() == nil {
			// A look that the time-out cut short would call everybody late.
			late = lateOnes(lines, offset)
		}
		if err == nil && len(late) == 0 {
			_, _ = fmt.Fprintf(o.out, "in force at %d processes after %s\n", len(lines), time.Since(begun).Round(time.Millisecond))
			return nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.New("not yet in force everywhere, late: " + strings.Join(late, ", "))
		}
	}
}

func lateOnes(lines []inspect.Line, offset graniteknot.Offset) []string {
	var late []string
	for _, l := range lines {
		if l.Err != nil {
			late = append(late, string(l.Address)+" (unreachable)")
			continue
		}
		if graniteknot.Offset(l.Status.GetSettingsOffset()) < offset {
			late = append(late, fmt.Sprintf("%s (at %d)", l.Address, l.Status.GetSettingsOffset()))
		}
	}
	return late
}
