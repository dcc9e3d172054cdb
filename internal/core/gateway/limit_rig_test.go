package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

const (
	// window is the span in which arrivals are counted, surplus how many more than one and a
	// half times the limit may come in one, and settled how long after a limit was first named.
	window  = 4 * time.Second
	surplus = 5
	settled = 2 * time.Second
)

// limited are replicas that all answer; some name a limit, by index.
type limited struct {
	deployment
	replicas []*platformtest.Replica
	limits   map[int]float64
	gateways []*box
	path     string
}

func newLimited(t *testing.T, path string, gateways, replicas int, limits map[int]float64) *limited {
	t.Helper()
	x := &limited{deployment: deployment{store: &keyed.Store{}, keys: []string{"k1"}}, limits: limits, path: path}
	for i := range replicas {
		r := newReplica(t, fmt.Sprint("i-", i))
		if rate, named := limits[i]; named {
			r.Always(naming(path, platformtest.Limit(fmt.Sprint(rate))))
		} else {
			r.Always(naming(path))
		}
		x.replica(r, false)
		x.replicas = append(x.replicas, r)
	}
	x.put()
	for range gateways {
		b := start(t, x.store, nil)
		t.Cleanup(b.stop)
		x.gateways = append(x.gateways, b)
	}
	for _, b := range x.gateways {
		eventually(t, "knows all", func() bool {
			all, _ := b.Fleet.Count("s", b.Clock.Now())
			return all == replicas && len(b.listed()) == gateways
		})
	}
	return x
}

// naming answers requests under a path, with further headers.
func naming(path string, headers ...string) platformtest.Script {
	if path == "/stream/x" {
		return platformtest.StreamWith(headers...)
	}
	return platformtest.AnswerWith("ok", headers...)
}

// answered counts what callers got.
type answered struct {
	sync.Mutex
	good, refused int
	// longest is the longest time to a refusal; unsaid are refusals without a time to
	// come back.
	refusals []time.Duration
	unsaid   int
}

// ask sends so many requests a second to some of the gateways, in turn.
func (x *limited) ask(t *testing.T, gateways []*box, perSecond int, lasting time.Duration) *answered {
	t.Helper()
	out := &answered{}
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	began := time.Now()
	for i := 0; time.Since(began) < lasting; i++ {
		<-ticker.C
		b := gateways[i%len(gateways)]
		wait.Go(func() { out.note(b.postWhole(x.path)) })
	}
	wait.Wait()
	return out
}

func (a *answered) note(status int, again float64, took time.Duration) {
	a.Lock()
	defer a.Unlock()
	if status == http.StatusOK {
		a.good++
		return
	}
	a.refused++
	a.refusals = append(a.refusals, took)
	if again <= 0 {
		a.unsaid++
	}
}

// worst returns the most arrivals at a replica in any window, from a time on.
func worst(r *platformtest.Replica, from time.Time) int {
	runs := r.Arrivals()
	most := 0
	for i, first := range runs {
		if first.At.Before(from) {
			continue
		}
		n := 0
		for _, next := range runs[i:] {
			if next.At.Sub(first.At) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// within checks the sum at each replica that named a limit, and returns the least part of a
// limit that was used over a span.
func (x *limited) within(t *testing.T, named time.Time, lasting time.Duration) (used float64) {
	t.Helper()
	used = 1e9
	for i, rate := range x.limits {
		may := 1.5*rate*window.Seconds() + surplus
		if got := worst(x.replicas[i], named.Add(settled)); float64(got) > may {
			t.Errorf("a replica that named %g a second got %d requests in %v; %g may come", rate, got, window, may)
		}
		n := 0
		for _, a := range x.replicas[i].Arrivals() {
			if a.At.After(named.Add(settled)) {
				n++
			}
		}
		used = min(used, float64(n)/(rate*(lasting-settled).Seconds()))
	}
	return used
}

// postWhole sends a request and returns its status, in how many seconds to come back, and how
// long that took; status 0 is none.
func (b *box) postWhole(path string) (status int, again float64, took time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(b.Config.Requests)+path, http.NoBody)
	if err != nil {
		return 0, 0, 0
	}
	r.Host = "h.example"
	platformtest.Sign(r, fmt.Sprint("l", requestCount.Add(1)), "k1")
	began := time.Now()
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0, 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode, platformtest.RetryAfter(answer.Header), time.Since(began)
}
