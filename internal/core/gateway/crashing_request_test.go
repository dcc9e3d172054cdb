package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

// crashBody is the body that crashes whichever replica begins it.
const crashBody = "ends replicas"

// maxCrashes is how many replicas may crash under one request before no more get it.
const maxCrashes = 3

// crashingService has replicas that crash when they begin a request with crashBody, as a process
// does: the store's record vanishes, and nobody listens any more.
type crashingService struct {
	deployment
	crashes atomic.Int32
}

func newCrashingService(t *testing.T, count int) *crashingService {
	t.Helper()
	m := &crashingService{deployment: deployment{store: &keyed.Store{}, keys: []string{"k1"}}}
	for i := range count {
		r := newReplica(t, fmt.Sprint("i-", i))
		r.Always(func(x *platformtest.Exchange) {
			switch {
			case string(x.Body) != crashBody && strings.HasPrefix(x.Request.URL.Path, "/stream/"):
				platformtest.Stream(2, true)(x)
				return
			case string(x.Body) != crashBody:
				platformtest.Answer("ok")(x)
				return
			}
			m.crashes.Add(1)
			m.store.Put(graniteknot.TopicReplicas, r.ID, nil)
			platformtest.Crash(x)
		})
		m.replica(r, false)
	}
	m.put()
	return m
}

// isolatedStore holds no members, so that a process finds no other.
type isolatedStore struct{ graniteknot.KeyedStore }

func (h isolatedStore) Newest(ctx context.Context, t graniteknot.Topic) (graniteknot.KeyedPage, error) {
	if t == graniteknot.TopicMembers {
		return graniteknot.KeyedPage{}, graniteknot.ErrNotDone
	}
	return h.KeyedStore.Newest(ctx, t)
}

func (h isolatedStore) Append(ctx context.Context, t graniteknot.Topic, r graniteknot.KeyedRecord) (graniteknot.Position, error) {
	if t == graniteknot.TopicMembers {
		return 0, graniteknot.ErrNotDone
	}
	return h.KeyedStore.Append(ctx, t, r)
}

// requestCount gives each request an ID of its own.
var requestCount atomic.Int32

// post sends a body and returns the status; 0 without a response.
func (b *box) post(path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(b.Config.Requests)+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	platformtest.Sign(r, fmt.Sprint("p", requestCount.Add(1)), "k1")
	x, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = x.Body.Close()
	return x.StatusCode
}

// reportsQuarantine reports whether the gateway's metrics show one quarantined request.
func (b *box) reportsQuarantine() bool {
	var text bytes.Buffer
	b.Meter.Write(&text)
	return strings.Contains(text.String(), "graniteknot_requests_quarantined 1")
}

// awaitQuarantine waits until gateways report the quarantined request, or for ten seconds.
func awaitQuarantine(all ...*box) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	const ticks = 1000
	for range ticks {
		<-ticker.C
		known := true
		for _, b := range all {
			known = known && b.reportsQuarantine()
		}
		if known {
			return
		}
	}
}

// TestRequestThatEndsReplicasIsKeptFromThem guards against a request that crashes replica after replica
// under new IDs, at gateways that saw it, that start later, or that learn of it in one way only.
func TestRequestThatEndsReplicasIsKeptFromThem(t *testing.T) {
	for _, path := range []string{"/repeat/x", "/stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) { t.Parallel(); keptFromReplicas(t, path) })
	}
}

func keptFromReplicas(t *testing.T, path string) {
	m := newCrashingService(t, 24)
	first, second := start(t, m.store, nil), start(t, m.store, nil)
	alone := start(t, isolatedStore{m.store}, nil)
	cut := &cutStore{KeyedStore: m.store}
	away := start(t, cut, nil)
	all := []*box{first, second, alone, away}
	for _, b := range all {
		eventually(t, "serves", func() bool { return b.post(path, "harmless") == http.StatusOK })
	}
	eventually(t, "all are known", func() bool { return len(first.listed()) == 3 && len(away.listed()) == 3 })
	cut.cut.Store(true)
	for m.crashes.Load() < maxCrashes-1 {
		first.post(path, crashBody)
	}
	awaitQuarantine(all...)
	started := start(t, m.store, nil)
	all = append(all, started)
	eventually(t, "the new one serves", func() bool { return started.post(path, "harmless") == http.StatusOK })
	awaitQuarantine(all...)
	for range 2 {
		for _, b := range all {
			if status := b.post(path, crashBody); status == http.StatusOK {
				t.Errorf("a request that crashes replicas was answered: %d", status)
			}
		}
	}
	for _, b := range all {
		b.stop()
	}
	anew := start(t, m.store, nil)
	defer anew.stop()
	eventually(t, "the next life serves", func() bool { return anew.post(path, "harmless") == http.StatusOK })
	awaitQuarantine(anew)
	for range 2 {
		anew.post(path, crashBody)
	}
	if n := m.crashes.Load(); n > maxCrashes {
		t.Errorf("%d replicas crashed under one request, %d may", n, maxCrashes)
	}
	if status := anew.post(path, "harmless"); status != http.StatusOK {
		t.Errorf("another body at the same path: %d", status)
	}
}
