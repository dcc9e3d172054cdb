package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/dev"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/logstore"
)

// newCluster starts a cluster that ends with the test.
func newCluster(tb testing.TB, o dev.Options) *dev.Cluster {
	tb.Helper()
	ctx := context.Background()
	c, err := dev.NewCluster(ctx, o)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(c.Kill)
	if err := c.Start(ctx); err != nil {
		tb.Fatal(err)
	}
	return c
}

// get makes one call and returns how long it took until its end.
func get(tb testing.TB, client *http.Client, url, key string, body []byte) time.Duration {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		tb.Error(err)
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+key)
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		tb.Error(err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		tb.Errorf("%s: %s %v", url, response.Status, err)
	}
	return time.Since(begun)
}

// readVars reads a process's counters.
func readVars(t *testing.T, a graniteknot.Address, v any) {
	response, err := http.Get("http://" + string(a) + "/debug/vars")
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(v); err != nil {
		t.Error(err)
	}
}

func open(t *testing.T, client *http.Client, url, key string, body []byte) *http.Response {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return nil
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		t.Error(err)
		return nil
	}
	return response
}

// TestNewBoxWhileTheLogIsDown checks that a box that keeps nothing and can't reach the log learns
// the tree from its peers, and serves.
func TestNewBoxWhileTheLogIsDown(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, dev.Options{})
	c.Log.Set(logstore.Faults{Down: true})
	p, err := c.AddEntry(ctx, c.Partners[0])
	if err != nil {
		t.Fatal(err)
	}
	want, got := c.Model[0].Node.Store.Position(), p.Node.Store.Position()
	if got.Offset != want.Offset || got.Digest != want.Digest || got.Offset == 0 {
		t.Fatalf("the new box has %+v, the others %+v", got, want)
	}
	body := []byte(`{"model":"label-reading","prompt":"Quercus robur","max_tokens":2}`)
	get(t, http.DefaultClient, "http://"+string(p.Config.Listen)+"/v1/completions", c.Partners[0].Keys[0], body)
}

// TestVersionIsOrdered publishes a version for the shared pool while calls flow:
// every engine gets it, and no call fails.
func TestVersionIsOrdered(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, dev.Options{})
	var calls group.Group
	url := "http://" + string(c.Partners[0].Entries[0].Config.Listen) + "/v1/completions"
	calls.Go(func(ctx context.Context) {
		for i := 0; ctx.Err() == nil; i++ {
			body := fmt.Appendf(nil, `{"model":"label-reading","prompt":"sheet %d","max_tokens":4}`, i)
			get(t, http.DefaultClient, url, c.Partners[0].Keys[0], body)
		}
	})
	for _, p := range c.Partners {
		if _, err := c.PublishVersion(ctx, p, "v2"); err != nil {
			t.Fatal(err)
		}
	}
	for range 400 {
		if c.EnginesHave("v2") {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	calls.Stop()
	if !c.EnginesHave("v2") {
		t.Error("not every engine was given the version")
	}
}
