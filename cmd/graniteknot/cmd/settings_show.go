package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/services"
	"graniteknot.org/go/settings"
)

const readTime = 10 * time.Second

func registerSettingsShow(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("show", "Show the settings in force.")
	flags := addLogFlags(c)
	at := c.Flag("at", "Show them as they were at an offset; 0 for now.").Int64()
	effective := c.Flag("effective", "Show every value in force for a section, and where it comes from: BRANCH/LEVEL or BRANCH/LEVEL/NAME.").String()
	diff := c.Flag("diff", "Show what changed since an offset.").Default("-1").Int64()
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		trees, err := readTrees(ctx, flags, graniteknot.Offset(*at), graniteknot.Offset(*diff))
		if err != nil {
			return err
		}
		switch {
		case *effective != "":
			return printEffective(o, trees.now, *effective)
		case *diff >= 0:
			printDiff(o, trees)
		default:
			printTree(o, trees.now)
		}
		return nil
	}
}

// trees are the tree to show and the one to compare it with.
type trees struct{ before, now *settings.Tree }

// readTrees folds the log up to an offset, 0 for all of it.
func readTrees(ctx context.Context, f *logFlags, at, before graniteknot.Offset) (trees, error) {
	out := trees{before: &settings.Tree{}}
	state, err := foldLog(ctx, f, func(s *fold.State, _ fold.Verdict) bool {
		if s.Offset() <= before {
			out.before = s.Tree()
		}
		return at == 0 || s.Offset() < at
	})
	if err != nil {
		return out, err
	}
	out.now = state.Tree()
	return out, nil
}

// foldLog folds the kept log from its begin; visit returns false to stop.
func foldLog(ctx context.Context, f *logFlags, visit func(*fold.State, fold.Verdict) bool) (*fold.State, error) {
	const batch = 256
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	trust, err := f.parse()
	if err != nil {
		return nil, err
	}
	log := services.NewLog(graniteknot.Address(f.log))
	state := fold.NewState(trust)
	for {
		page, err := log.Read(ctx, graniteknot.SettingsStream, state.Offset()+1, batch)
		if err != nil {
			return nil, err
		}
		if page.First > state.Offset()+1 {
			return nil, fmt.Errorf("the log begins at offset %d; ask a process with status", page.First)
		}
		for _, record := range page.Records {
			verdict, err := state.Apply(record)
			if err != nil {
				return nil, err
			}
			if !visit(state, verdict) {
				return state, nil
			}
		}
		if state.Offset()+1 >= page.Next {
			return state, nil
		}
	}
}

func printTree(o console, tree *settings.Tree) {
	for _, s := range tree.Sections() {
		_, _ = fmt.Fprintln(o.out, s.ID)
		for _, v := range s.Settings {
			_, _ = fmt.Fprintf(o.out, "  %s = %s\n", v.Key, v.Text)
		}
	}
}

func printEffective(o console, tree *settings.Tree, name string) error {
	id, err := settings.ParseSectionID(name)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	for _, v := range tree.Effective(id) {
		_, _ = fmt.Fprintf(o.out, "%s = %s\tfrom %s\n", v.Setting.Key, v.Setting.Text, v.From)
	}
	return nil
}

// printDiff lists lines that went with "-" and lines that came with "+".
func printDiff(o console, t trees) {
	before, now := linesOf(t.before), linesOf(t.now)
	for _, l := range before.order {
		if !now.has[l] {
			_, _ = fmt.Fprintln(o.out, "-", l)
		}
	}
	for _, l := range now.order {
		if !before.has[l] {
			_, _ = fmt.Fprintln(o.out, "+", l)
		}
	}
}

// treeLines is a tree as a set of lines, in order.
type treeLines struct {
	order []string
	has   map[string]bool
}

func linesOf(tree *settings.Tree) treeLines {
	out := treeLines{has: map[string]bool{}}
	for _, s := range tree.Sections() {
		for _, v := range s.Settings {
			line := fmt.Sprintf("%s %s = %s", s.ID, v.Key, v.Text)
			out.order = append(out.order, line)
			out.has[line] = true
		}
	}
	return out
}

func registerSettingsHistory(parent *kingpin.CmdClause, commands registry) {
	c := parent.Command("history", "List every change in the log and what became of it.")
	flags := addLogFlags(c)
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		_, err := foldLog(ctx, flags, func(_ *fold.State, v fold.Verdict) bool {
			if v.Status != fold.StatusNone {
				_, _ = fmt.Fprintln(o.out, historyLine(v))
			}
			return true
		})
		return err
	}
}

func historyLine(v fold.Verdict) string {
	line := fmt.Sprintf("%d %s branch=%s by=%s id=%s", v.Offset, v.Status, v.Branch, v.Signer, v.ID)
	if v.Err != nil {
		line += " because " + strings.ReplaceAll(v.Err.Error(), "\n", "; ")
	}
	return line
}
