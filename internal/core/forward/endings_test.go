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
	"graniteknot.org/go/platform/platformtest"
)

// output keeps what a log writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// lines returns the fields of the lines of an event.
func (o *output) lines(t *testing.T, event string) []map[string]any {
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

// TestEndedReplicaIsTold tells from the log whether a replica ended under a request or only
// its answer was lost, and which requests are the same under other ids.
func TestEndedReplicaIsTold(t *testing.T) {
	cases := map[string]struct {
		script platformtest.Script
		ended  int
	}{
		"ended":       {platformtest.Crash, 1},
		"answer lost": {platformtest.Lose, 0},
		"failed":      {platformtest.Fail(http.StatusInternalServerError), 0},
	}
	identities := map[any]bool{}
	for name, c := range cases {
		out := &output{}
		lines := eventlog.NewWriter(out)
		r := newRig(t, catalog.KindRepeatable, c.script, platformtest.Answer("second"))
		r.forward.Log = eventlog.New(lines, "b", "gateway")
		r.do(context.Background())
		r.forward.Stop()
		lines.Close(time.Second)
		ended := out.lines(t, "replica ended")
		if len(ended) != c.ended {
			t.Errorf("%s: told %d ends: %v", name, len(ended), ended)
		}
		for _, line := range ended {
			if line["replica"] != "i-0" || line["account"] != "desk" || line["path"] != "/p/x" {
				t.Errorf("%s: %v", name, line)
			}
		}
		for _, line := range out.lines(t, "attempt") {
			if line["reason"] != nil && line["identity"] != nil {
				identities[line["identity"]] = true
			}
		}
	}
	if len(identities) != 1 {
		t.Errorf("the same request was told as %v", identities)
	}
}
