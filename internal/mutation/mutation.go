package mutation

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutation takes out one rule.
type Mutation struct {
	// Name says which, in a few words.
	Name string
	// File is the path from the root of the module; Old, which stands there once, is replaced
	// by New.
	File, Old, New string
	// Test is the expression of the test that has to fail, Package the folder that it is in.
	Test, Package string
	// Says is a part of what it prints then; empty for anything.
	Says string
	// Arguments are given to the test.
	Arguments []string
	// Variables are set for the test, as NAME=value.
	Variables []string
}

// The ways in which a mutation shows nothing.
var (
	// ErrSurvived is a mutation that the test does not notice.
	ErrSurvived = errors.New("the test does not notice")
	// ErrUnfit is one whose place in the source is not there once, or that can't be built.
	ErrUnfit = errors.New("the mutation does not fit the source")
)

// Try makes a mutation in the module at a root and returns nil where the test notices it.
func Try(ctx context.Context, root, dir string, m *Mutation) error {
	path := filepath.Join(root, m.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := bytes.Count(source, []byte(m.Old)); n != 1 {
		return fmt.Errorf("%w: %q stands %d times in %s", ErrUnfit, m.Old, n, m.File)
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, bytes.Replace(source, []byte(m.Old), []byte(m.New), 1), 0o600); err != nil { //nolint:gosec // The folder is the caller's.
		return err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return err
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, overlay, 0o600); err != nil {
		return err
	}
	return m.run(ctx, root, list)
}

// run runs the test with the changed source.
func (m *Mutation) run(ctx context.Context, root, overlay string) error {
	words := append([]string{"test", "-count=1", "-vet=off", "-run", m.Test, "./" + m.Package}, m.Arguments...)
	command := exec.CommandContext(ctx, "go", words...) //nolint:gosec // The arguments are the tests' own.
	command.Dir = root
	// A test may build a program itself, so the overlay is not given as an argument.
	command.Env = append(os.Environ(), "GOFLAGS="+strings.TrimSpace(os.Getenv("GOFLAGS")+" -overlay="+overlay))
	command.Env = append(command.Env, m.Variables...)
	out, err := command.CombinedOutput()
	switch {
	case err == nil:
		return fmt.Errorf("%w: %s", ErrSurvived, m.Name)
	case bytes.Contains(out, []byte("[build failed]")), !bytes.Contains(out, []byte("FAIL")):
		return fmt.Errorf("%w: %s: %s", ErrUnfit, m.Name, out)
	case !bytes.Contains(out, []byte(m.Says)):
		return fmt.Errorf("%w: %s: failed otherwise: %s", ErrSurvived, m.Name, out)
	}
	return nil
}
