package directconf_test

import (
	"os"
	"path/filepath"
	"testing"

	"graniteknot.org/go/internal/core/directconf"
)

// FuzzParse reads any text as settings.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"gateway.ini", "sidecar.ini"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := directconf.Parse("f.ini", text)
		if err == nil && (c == nil || c.Box == "") {
			t.Errorf("%v, %v", c, err)
		}
	})
}
