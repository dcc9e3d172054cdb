package cmd_test

import (
	"bytes"
	"strings"
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/cmd/graniteknot/cmd"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/platform/platformtest"
)

// TestQuarantineCommands lists what is quarantined, releases a part by its name and a request by its
// identity, and refuses flags that name neither or both.
func TestQuarantineCommands(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	part := quarantine.Entry{Key: quarantine.KeyOfPart("m", "5c1e07a2", 800), Part: true, CrashedReplicas: []catalog.Mark{1, 2, 3}, Blamed: true}
	request := quarantine.Entry{Key: quarantine.KeyOf("/p", "desk", []byte("body")), CrashedReplicas: []catalog.Mark{4, 5}}
	for _, e := range []quarantine.Entry{part, request} {
		r, err := quarantine.EncodeRecord(&e)
		if err != nil {
			t.Fatal(err)
		}
		store.Records.Put(graniteknot.TopicQuarantine, r.Key, r.Value)
	}
	run := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		code := cmd.Run(append([]string{"quarantine", "--store", string(store.Address())}, args...), &out, &errs)
		return code, out.String(), errs.String()
	}
	list := func() string {
		code, out, errs := run("list")
		if code != 0 {
			t.Errorf("list: %d, %s", code, errs)
		}
		return out
	}
	for _, e := range []quarantine.Entry{part, request} {
		if !strings.Contains(list(), e.Key.String()) {
			t.Errorf("%s is not listed: %s", e.Key, list())
		}
	}
	if code, _, errs := run("release", "--model", "m", "--part", "005C1E07A2:800"); code != 0 || strings.Contains(list(), part.Key.String()) || !strings.Contains(list(), request.Key.String()) {
		t.Errorf("release of a part: %d, %s, then %s", code, errs, list())
	}
	if code, _, errs := run("release", "--identity", request.Key.String()); code != 0 || strings.Contains(list(), request.Key.String()) {
		t.Errorf("release of a request: %d, %s, then %s", code, errs, list())
	}
	for _, wrong := range [][]string{nil, {"--identity", "xy"}, {"--part", "5c"}, {"--identity", request.Key.String(), "--part", "5c:1"}} {
		if code, _, errs := run(append([]string{"release"}, wrong...)...); code != 2 || errs == "" {
			t.Errorf("release %v: %d, %q", wrong, code, errs)
		}
	}
}
