package forward_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/platform/platformtest"
)

// logBuffer collects what a log writes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *logBuffer) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// events returns the fields of all log lines of an event.
func (o *logBuffer) events(t *testing.T, event string) []map[string]any {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []map[string]any
	for line := range bytes.Lines(o.text.Bytes()) {
		fields := map[string]any{}
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		if fields["msg"] == event {
			out = append(out, fields)
		}
	}
	return out
}

// TestReplicaCrashIsLogged checks that the log tells a crash of a replica from a lost response,
// identifies a request under different IDs, and tells what its prompt consists of.
func TestReplicaCrashIsLogged(t *testing.T) {
	cases := map[string]struct {
		script  platformtest.Script
		crashes int
	}{
		"crash":         {platformtest.Crash, 1},
		"response lost": {platformtest.Lose, 0},
		"failed":        {platformtest.Fail(http.StatusInternalServerError), 0},
	}
	identities := map[any]bool{}
	for name, c := range cases {
		out := &logBuffer{}
		lines := eventlog.NewWriter(out)
		r := newFixture(t, catalog.KindRepeatable, c.script, platformtest.Answer("second"))
		r.forwarder.Log = eventlog.New(lines, "b", "gateway")
		r.request.Model, r.request.PromptParts = "m", []forward.PromptPart{{ID: "5c", Tokens: 800}, {ID: "91", Tokens: 410}}
		r.do(context.Background())
		r.forwarder.Stop()
		lines.Close(time.Second)
		crashes := out.events(t, "replica ended")
		if len(crashes) != c.crashes {
			t.Errorf("%s: %d crashes logged: %v", name, len(crashes), crashes)
		}
		for _, line := range crashes {
			if line["replica"] != "i-0" || line["account"] != "desk" || line["path"] != "/p/x" ||
				line["model"] != "m" || line["parts"] != "5c:800,91:410" || line["response_started"] != false {
				t.Errorf("%s: logged as %v", name, line)
			}
		}
		for _, line := range out.events(t, "attempt") {
			if line["reason"] != nil && line["identity"] != nil {
				identities[line["identity"]] = true
			}
		}
	}
	if len(identities) != 1 {
		t.Errorf("the same request was logged with identities %v", identities)
	}
}
