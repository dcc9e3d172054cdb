package dev_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/dev"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/settings"
)

func TestManyStreams(t *testing.T) {
	if testing.Short() {
		t.Skip("run by make test")
	}
	const streams, tokens = 3700, 64
	c := newCluster(t, dev.Options{})
	p := c.Partners[0]
	url := "http://" + string(p.Entries[0].Config.Listen) + "/v1/completions"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	body := []byte(`{"model":"label-reading","prompt":"Quercus robur","max_tokens":64,"stream":true}`)
	before := inUse()
	idle := open(t, client, url, p.Keys[0], body)
	var wait sync.WaitGroup
	var mu sync.Mutex
	whole, refused, held, most := 0, 0, 0, uint64(0)
	for range streams - 1 {
		wait.Go(func() {
			response := open(t, client, url, p.Keys[0], body)
			if response == nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			mu.Lock()
			defer mu.Unlock()
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Graniteknot-Outcome") == "not-run" {
				refused++
				return
			}
			if err == nil && strings.HasSuffix(string(text), "data: [DONE]\n\n") && strings.Count(string(text), `"text"`) == tokens {
				whole++
			}
		})
	}
	var sampler group.Group
	sampler.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			most = max(most, inUse())
			held = max(held, heldAt(t, p.Entries[0].Config.Listen))
			time.Sleep(20 * time.Millisecond)
		}
	})
	wait.Wait()
	sampler.Stop()
	most -= min(most, before)
	_ = idle.Body.Close()
	t.Logf("%d of %d streams whole, %d refused, at most %d at once; %.1f KiB a stream in all",
		whole, streams-1, refused, held, float64(most)/streams/1024)
	// On a busy machine steps take longer, and what can't be served before its
	// deadline is refused; but nothing that began may be cut off.
	if whole+refused != streams-1 || whole == 0 {
		t.Errorf("%d of %d streams whole, %d refused", whole, streams-1, refused)
	}
	if most > streams*256*1024 {
		t.Errorf("%d bytes", most)
	}
}

func heldAt(t *testing.T, a graniteknot.Address) int {
	var v struct {
		Received int `json:"requests_received"`
		Answered int `json:"requests_answered"`
		NotRun   int `json:"requests_not_run"`
		Unknown  int `json:"requests_unknown"`
	}
	readVars(t, a, &v)
	return v.Received - v.Answered - v.NotRun - v.Unknown
}

func inUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func TestReaderThatDoesNotRead(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, dev.Options{EngineStep: -1})
	p := c.Partners[0]
	change := "[partner]\ndeadline = 1s\nmax_tokens = 65536\n[account one]\nkey_sha256 = " + settings.HashKey("one") + "\nconcurrent = 1\n"
	answer, err := c.Publish(ctx, p, settings.Branch(p.Name), change)
	if err != nil || c.AwaitForce(ctx, answer.Offset) != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", string(p.Entries[0].Config.Listen))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	// Little room on the way, so that the answer does not fit into it.
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	body := `{"model":"label-reading","prompt":"x","max_tokens":65536,"stream":true}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer one\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + string(p.Entries[0].Config.Listen) + "/v1/completions"
	free := func() bool {
		response := open(t, http.DefaultClient, url, "one", []byte(`{"model":"label-reading","prompt":"y","max_tokens":1}`))
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	for range 300 {
		if free() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the place of the caller that does not read is still taken")
}

// TestDeathsWhileTheLogIsDown: the log is down from begin to end, an agent, an
// engine's agent and an entry die; nothing is lost, doubled, mixed up or untrue.
