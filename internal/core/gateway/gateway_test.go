package gateway_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

// TestServesOnceItKnows refuses until it has a configuration, then routes,
// proves keys, and follows changes.
func TestServesOnceItKnows(t *testing.T) {
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1", "k2"}}
	b := start(t, d.store, nil)
	defer b.stop()
	if a := b.ask("/once/x", "k1"); a.status != http.StatusServiceUnavailable {
		t.Fatalf("without a configuration: %+v", a)
	}
	r := newReplica(t, "i-1")
	d.replica(r, false)
	d.put()
	eventually(t, "served", func() bool { return b.ask("/once/x", "k1").status == http.StatusOK })
	for path, want := range map[string]int{"/none/": http.StatusNotFound, "/once/x": http.StatusUnauthorized} {
		if a := b.ask(path, "unknown"); a.status != want {
			t.Errorf("%s with an unknown key: %+v, want %d", path, a, want)
		}
	}
	if a := b.ask("/public/x", ""); a.status != http.StatusOK {
		t.Errorf("public route: %+v", a)
	}
	d.keys = []string{"k2"}
	d.put()
	eventually(t, "the key is gone", func() bool { return b.ask("/once/x", "k1").status == http.StatusUnauthorized })
	if a := b.ask("/once/x", "k2"); a.status != http.StatusOK {
		t.Errorf("the other key: %+v", a)
	}
}

// TestOldConfigurationTrustsNoKey stops trusting keys when the store has been
// away for too long, says so as not run, and goes on when it is back.
func TestOldConfigurationTrustsNoKey(t *testing.T) {
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	r := newReplica(t, "i-1")
	d.replica(r, false)
	d.put()
	b := start(t, d.store, nil)
	defer b.stop()
	eventually(t, "served", func() bool { return b.ask("/once/x", "k1").status == http.StatusOK })
	d.store.Set(keyed.FaultRefuse)
	eventually(t, "refused", func() bool { return b.ask("/once/x", "k1").status == http.StatusServiceUnavailable })
	ran := len(r.Ran())
	if a := b.ask("/once/x", "k1"); a.status != http.StatusServiceUnavailable || platformtest.RetryAfter(a.header) <= 0 {
		t.Errorf("%+v", a)
	}
	if len(r.Ran()) != ran {
		t.Error("a refused request ran")
	}
	if a := b.ask("/public/x", ""); a.status != http.StatusOK {
		t.Errorf("public route: %+v", a)
	}
	d.store.Set(keyed.FaultNone)
	eventually(t, "served again", func() bool { return b.ask("/once/x", "k1").status == http.StatusOK })
}

// TestLeavingReplicaGetsNothing sends nothing to a replica that leaves, or whose
// record is gone.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	first, second := newReplica(t, "i-1"), newReplica(t, "i-2")
	d.replica(first, false)
	d.put()
	b := start(t, d.store, nil)
	defer b.stop()
	eventually(t, "served", func() bool { return b.ask("/once/x", "k1").status == http.StatusOK })
	d.replica(second, false)
	d.replica(first, true)
	eventually(t, "the second alone", func() bool {
		before := len(first.Ran())
		return b.ask("/once/x", "k1").status == http.StatusOK && len(first.Ran()) == before
	})
	before := len(first.Ran())
	for range 20 {
		b.ask("/once/x", "k1")
	}
	if len(first.Ran()) != before {
		t.Error("the leaving replica got a request")
	}
}

// TestPlannedStopServesWhatIsOpen takes a gateway out of the other's answers and
// serves the stream that is open to its end.
func TestPlannedStopServesWhatIsOpen(t *testing.T) {
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	release, begun := make(chan struct{}), make(chan struct{})
	r := newReplica(t, "i-1", func(x *platformtest.Exchange) {
		close(begun)
		<-release
		platformtest.Stream(3, true)(x)
	})
	d.replica(r, false)
	d.put()
	leaving := start(t, d.store, nil)
	staying := start(t, d.store, nil)
	defer staying.stop()
	eventually(t, "both listed", func() bool { return len(staying.listed()) == 2 })
	eventually(t, "known", func() bool {
		return len(leaving.Fleet.IDs()) == 1 && leaving.ask("/none/", "k1").status == http.StatusNotFound
	})
	var callers sync.WaitGroup
	var got answer
	callers.Go(func() { got = leaving.ask("/stream/x", "k1") })
	<-begun
	stopped := make(chan struct{})
	callers.Go(func() {
		defer close(stopped)
		leaving.Stop(context.Background())
	})
	eventually(t, "one listed", func() bool { return len(staying.listed()) == 1 })
	close(release)
	<-stopped
	callers.Wait()
	want := platformtest.Event(1, "token") + platformtest.Event(2, "token") + platformtest.Event(3, "token")
	if got.status != http.StatusOK || got.body != want {
		t.Errorf("%+v", got)
	}
}

// TestBrokenStreamIsNotWhole closes the connection when a stream can't be
// finished, so that the caller sees it.
func TestBrokenStreamIsNotWhole(t *testing.T) {
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	r := newReplica(t, "i-1", platformtest.Stream(2, false), platformtest.Stream(2, false))
	d.replica(r, false)
	d.put()
	b := start(t, d.store, func(c *directconf.Config) { c.RetryExtra = 0 })
	defer b.stop()
	eventually(t, "known", func() bool { return len(b.Fleet.IDs()) == 1 && b.ask("/none/", "k1").status == http.StatusNotFound })
	if a := b.ask("/stream/x", "k1"); a.status != 0 {
		t.Errorf("a broken stream looks whole: %+v", a)
	}
}

// TestLimits refuses bodies and heads that are too large, also after a change.
func TestLimits(t *testing.T) {
	d := &deployment{store: &keyed.Store{}, keys: []string{"k1"}}
	r := newReplica(t, "i-1")
	d.replica(r, false)
	d.put()
	b := start(t, d.store, nil)
	defer b.stop()
	eventually(t, "served", func() bool { return b.ask("/once/x", "k1").status == http.StatusOK })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if status := platformtest.Post(ctx, string(b.Config.Requests), "h.example", "/once/x", "k1", platformtest.MaxBody+1); status != http.StatusRequestEntityTooLarge {
		t.Errorf("body too large: %d", status)
	}
	if status := platformtest.Post(ctx, string(b.Config.Requests), "h.example", "/once/x", "k1", platformtest.MaxBody); status != http.StatusOK {
		t.Errorf("largest body: %d", status)
	}
}

// TestNoKeyInLogOrFigures looks for a caller's key in everything that a gateway
// writes about requests that are served, refused and fail.
func TestNoKeyInLogOrFigures(t *testing.T) {
	const secret = "kfhc2nv8s3cret"
	d := &deployment{store: &keyed.Store{}, keys: []string{secret}}
	var out bytes.Buffer
	lines := eventlog.NewWriter(&out)
	r := newReplica(t, "i-1")
	d.replica(r, false)
	d.put()
	b := startLogged(t, d.store, lines, func(c *directconf.Config) { c.Metrics = c.Readiness[:len(c.Readiness)-1] + "9" })
	eventually(t, "served", func() bool { return b.ask("/once/x", secret).status == http.StatusOK })
	b.ask("/none/", secret)
	b.ask("/once/x", secret+"wrong")
	d.keys = []string{"other"}
	d.put()
	eventually(t, "refused", func() bool { return b.ask("/once/x", secret).status == http.StatusUnauthorized })
	figures := b.get("http://"+string(b.Config.Metrics)+"/metrics", "")
	b.stop()
	lines.Close(patience)
	if strings.Contains(out.String(), secret) || strings.Contains(figures.body, secret) {
		t.Error("a key was written")
	}
	for _, want := range []string{`"msg":"request"`, `"msg":"refused"`, `"reason":"unknown-key"`, `"reason":"no-route"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line with %s", want)
		}
	}
	for _, want := range []string{"graniteknot_requests_total{", "graniteknot_refused_total{", "graniteknot_first_byte_seconds_bucket{", "graniteknot_store_calls_total{"} {
		if !strings.Contains(figures.body, want) {
			t.Errorf("no figure %s", want)
		}
	}
}
