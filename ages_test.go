package graniteknot_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// constants are the constants of the repository's packages, by package and name.
type constants map[string]ast.Expr

// constantsOf reads them from the sources below a folder.
func constantsOf(t *testing.T, folder string) constants {
	t.Helper()
	out := constants{}
	files, err := filepath.Glob(filepath.Join(folder, "*", "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			out.add(file.Name.Name, d)
		}
	}
	return out
}

func (c constants) add(pkg string, d ast.Decl) {
	group, ok := d.(*ast.GenDecl)
	if !ok || group.Tok != token.CONST {
		return
	}
	for _, s := range group.Specs {
		if v, ok := s.(*ast.ValueSpec); ok {
			for i, name := range v.Names {
				if i < len(v.Values) {
					c[pkg+"."+name.Name] = v.Values[i]
				}
			}
		}
	}
}

// units are what expressions name of package time, in nanoseconds.
var units = map[string]float64{
	"time.Millisecond": float64(time.Millisecond), "time.Second": float64(time.Second), "time.Minute": float64(time.Minute),
}

// value works out an expression of a package, given the values of settings.
func (c constants) value(pkg string, e ast.Expr, settings map[string]float64) (float64, error) {
	switch x := e.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(x.Value, 64)
	case *ast.ParenExpr:
		return c.value(pkg, x.X, settings)
	case *ast.Ident:
		if v, ok := settings[x.Name]; ok {
			return v, nil
		}
		return c.named(pkg+"."+x.Name, settings)
	case *ast.SelectorExpr:
		return c.named(fmt.Sprint(x.X, ".", x.Sel.Name), settings)
	case *ast.BinaryExpr:
		return c.binary(pkg, x, settings)
	case *ast.CallExpr:
		most := 0.0
		for _, a := range x.Args {
			v, err := c.value(pkg, a, settings)
			if err != nil {
				return 0, err
			}
			most = max(most, v)
		}
		return most, nil
	}
	return 0, fmt.Errorf("%T is no sum of constants", e)
}

func (c constants) named(name string, settings map[string]float64) (float64, error) {
	if v, ok := units[name]; ok {
		return v, nil
	}
	e, ok := c[name]
	if !ok {
		return 0, fmt.Errorf("no constant %s", name)
	}
	pkg, _, _ := strings.Cut(name, ".")
	return c.value(pkg, e, settings)
}

func (c constants) binary(pkg string, x *ast.BinaryExpr, settings map[string]float64) (float64, error) {
	a, err := c.value(pkg, x.X, settings)
	if err != nil {
		return 0, err
	}
	b, err := c.value(pkg, x.Y, settings)
	if err != nil {
		return 0, err
	}
	results := map[token.Token]float64{token.ADD: a + b, token.SUB: a - b, token.MUL: a * b, token.QUO: a / b}
	out, ok := results[x.Op]
	if !ok {
		return 0, fmt.Errorf("operation %v", x.Op)
	}
	return out, nil
}

// TestAgesTable works out the oldest age of each thing that is known of others from the
// constants of the code, and compares it with the bound that it has to keep.
func TestAgesTable(t *testing.T) {
	const file, columns, least = "docs/design/ages.md", 6, 17
	const hops, bound, searched = 1, 2, 5
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	all := constantsOf(t, filepath.Join("internal", "core"))
	_, tests := declared(t)
	quoted := regexp.MustCompile("`([^`]+)`")
	rows := 0
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != columns || !strings.Contains(cells[hops], "`") {
			continue
		}
		rows++
		checkAge(t, all, cells[0], quoted.FindStringSubmatch(cells[hops])[1], quoted.FindStringSubmatch(cells[bound])[1])
		for _, name := range quoted.FindAllStringSubmatch(cells[searched], -1) {
			if !tests[name[1]] {
				t.Errorf("no test %s: %s", name[1], cells[0])
			}
		}
	}
	if rows < least {
		t.Errorf("%d rows were read", rows)
	}
}

// checkAge compares a sum with its bound for each drain time that deployments have.
func checkAge(t *testing.T, all constants, what, hops, bound string) {
	t.Helper()
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		settings := map[string]float64{"drain": float64(drain), "keyAge": float64(5 * time.Second)}
		var values [2]float64
		for i, text := range []string{hops, bound} {
			e, err := parser.ParseExpr(text)
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			if values[i], err = all.value("", e, settings); err != nil {
				t.Fatalf("%s: %v", what, err)
			}
		}
		if values[0] > values[1] {
			t.Errorf("%s: %v, %v may be at a drain time of %v", what, time.Duration(values[0]), time.Duration(values[1]), drain)
		}
	}
}
