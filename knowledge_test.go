package graniteknot_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestKnowledgeTable reads the table of what is known of others: each type and each test that
// it names exists, so that it does not say what the code no longer does.
func TestKnowledgeTable(t *testing.T) { checkTable(t, "docs/design/knowledge.md", 9, 20) }

// TestBoundsTable does the same with the table of bounds that hold over all boxes together.
func TestBoundsTable(t *testing.T) { checkTable(t, "docs/design/bounds.md", 8, 14) }

// checkTable reads a table whose second column names types, and whose last one names tests.
func checkTable(t *testing.T, file string, columns, least int) {
	t.Helper()
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	types, tests := declared(t)
	const code = 1
	rows := 0
	quoted := regexp.MustCompile("`([^`]+)`")
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns || !strings.Contains(cells[code], "`") {
			continue
		}
		rows++
		for _, name := range quoted.FindAllStringSubmatch(cells[code], -1) {
			if !types[name[1]] {
				t.Errorf("no type %s: %s", name[1], cells[0])
			}
		}
		found := quoted.FindAllStringSubmatch(cells[columns-1], -1)
		if len(found) == 0 {
			t.Errorf("no test: %s", cells[0])
		}
		for _, name := range found {
			if !tests[name[1]] {
				t.Errorf("no test %s: %s", name[1], cells[0])
			}
		}
	}
	if rows < least {
		t.Errorf("%d rows were read", rows)
	}
}

var (
	typeLine = regexp.MustCompile(`(?m)^type (\w+) `)
	testLine = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
)

// declared returns the types, behind their packages' names, and the tests of the repository.
func declared(t *testing.T) (types, tests map[string]bool) {
	t.Helper()
	types, tests = map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != "." && (strings.HasPrefix(d.Name(), ".") || d.Name() == "journal" || d.Name() == "target"):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go"):
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range typeLine.FindAllStringSubmatch(string(text), -1) {
			types[filepath.Base(filepath.Dir(path))+"."+m[1]] = true
		}
		for _, m := range testLine.FindAllStringSubmatch(string(text), -1) {
			tests[m[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return types, tests
}
