package soak_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform/platformtest"
)

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	requests string
	settings string
	store    graniteknot.Address
	command  *exec.Cmd
	log      *os.File
}

// startGateway starts a gateway process, whose log stands beside its settings.
func startGateway(t *testing.T, number int, store graniteknot.Address, stop time.Duration) *gatewayProcess {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 200+number, os.Getpid()/250%250+1, os.Getpid()%250+1)
	g := &gatewayProcess{requests: ip + ":18001", settings: filepath.Join(t.TempDir(), "gateway.ini"), store: store}
	g.write(t, stop)
	var err error
	if g.log, err = os.Create(filepath.Join(filepath.Dir(g.settings), "gateway.log")); err != nil {
		t.Fatal(err)
	}
	g.command = exec.CommandContext(t.Context(), binary(t), "gateway", "--config", g.settings)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	if err := g.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_, _ = g.command.Process.Kill(), g.log.Close()
		if t.Failed() {
			text, _ := os.ReadFile(g.log.Name())
			t.Logf("log of the gateway:\n%s", text)
		}
	})
	return g
}

// write writes the settings.
func (g *gatewayProcess) write(t *testing.T, stop time.Duration) {
	t.Helper()
	ip := strings.TrimSuffix(g.requests, ":18001")
	text := fmt.Sprintf(`[process]
role = gateway
box = %[1]s
zone = z
stop_bound = %[2]s
[listen]
requests = %[1]s:18001
readiness = %[1]s:18002
directory = %[1]s:18003
peers = %[1]s:18004
[store]
address = %[3]s
[bounds]
key_age = 5s
drain = 2s
answer_life = 2s
[retries]
share = 0.2
extra = 90
`, ip, stop, g.store)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// awaitServing waits until a gateway serves.
func (g *gatewayProcess) awaitServing(t *testing.T) {
	t.Helper()
	for range 200 {
		c := &stopCall{id: "probe", route: "repeat", wait: time.Second}
		if c.run(t.Context(), g.requests, time.Now()); c.status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the gateway never served")
}

// awaitServedBy waits until a replica serves a gateway's request.
func (g *gatewayProcess) awaitServedBy(t *testing.T, r *platformtest.Replica, id string) {
	t.Helper()
	for range 100 {
		c := &stopCall{id: id, route: "repeat", wait: time.Second}
		c.run(t.Context(), g.requests, time.Now())
		for _, x := range r.Ran() {
			if platformtest.RequestID(x) == id && c.status == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: the new replica never served", id)
}

// awaitLine waits until the gateway's log has a line with a text.
func (g *gatewayProcess) awaitLine(t *testing.T, text string) {
	t.Helper()
	for range 400 {
		log, err := os.ReadFile(g.log.Name())
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(log), text) {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("never logged %s", text)
}

// leftAt returns when the gateway logged that it stops.
func (g *gatewayProcess) leftAt(t *testing.T) time.Time {
	t.Helper()
	log, err := os.ReadFile(g.log.Name())
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(log)) {
		var entry struct {
			Time    time.Time `json:"time"`
			Message string    `json:"msg"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "leaving" {
			return entry.Time
		}
	}
	t.Fatal("the gateway never stopped")
	return time.Time{}
}

// peakMemory returns the most memory that a process has held, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}
