package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

const (
	// contact is how long after the fifth crash gateways may take to know the part.
	contact = 3 * time.Second
	// maxLateRequests is how many requests with the part may reach replicas later.
	maxLateRequests = 3
	// minServed is the part of the sound requests that is served then.
	minServed = 0.95
	// crashReturn is how long a crashed replica is away.
	crashReturn = 500 * time.Millisecond
	badInterval = 40 * time.Millisecond
	// soundInterval is shorter than the service time, so that sound requests are in progress at
	// each crash.
	soundInterval = 10 * time.Millisecond
	serviceTime   = 25 * time.Millisecond
	firstPart     = "f1:40"
	thirdPart     = "33:90"
)

// crashingReplicas are replicas that crash when they begin a request with certain prompt parts, and
// return after crashReturn under another ID and address.
type crashingReplicas struct {
	deployment
	t     *testing.T
	crash platformtest.Script
	parts []string
	// armed is set once the parts crash replicas.
	armed atomic.Bool

	mu      sync.Mutex
	lives   int
	reached map[string][]time.Time
	crashes map[string][]time.Time
}

func newCrashingReplicas(t *testing.T, count int, crash platformtest.Script, parts ...string) *crashingReplicas {
	t.Helper()
	c := &crashingReplicas{
		deployment: deployment{store: &keyed.Store{}, keys: []string{"k1"}}, t: t, crash: crash, parts: parts,
		reached: map[string][]time.Time{}, crashes: map[string][]time.Time{},
	}
	for range count {
		c.startReplica()
	}
	c.put()
	return c
}

func (c *crashingReplicas) startReplica() {
	c.mu.Lock()
	c.lives++
	id := fmt.Sprint("i-", c.lives)
	c.mu.Unlock()
	r, err := platformtest.NewReplica(id)
	if err != nil {
		c.t.Error(err)
		return
	}
	c.t.Cleanup(r.Close)
	var once sync.Once
	r.Always(func(x *platformtest.Exchange) {
		for _, part := range c.parts {
			if !c.armed.Load() || !platformtest.HasPromptPart(x.Request, part) {
				continue
			}
			c.record(c.reached, part)
			once.Do(func() {
				c.record(c.crashes, part)
				c.store.Put(graniteknot.TopicReplicas, id, nil)
			})
			c.crash(x)
			return
		}
		delay.For(context.Background(), serviceTime)
		if strings.HasPrefix(x.Request.URL.Path, "/stream/") {
			platformtest.Stream(2, true)(x)
			return
		}
		platformtest.Answer("ok")(x)
	})
	c.replica(r, false)
	var background group.Group
	c.t.Cleanup(background.Stop)
	background.Go(func(ctx context.Context) {
		select {
		case <-r.Ended():
		case <-ctx.Done():
			return
		}
		if delay.For(ctx, crashReturn); ctx.Err() == nil {
			c.startReplica()
		}
	})
}

func (c *crashingReplicas) record(times map[string][]time.Time, part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times[part] = append(times[part], time.Now())
}

// crashCount returns how many replicas crashed under a part.
func (c *crashingReplicas) crashCount(part string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes[part])
}

// late returns how many requests with a part reached replicas later than contact after the fifth
// crash.
func (c *crashingReplicas) late(part string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes[part]) < 5 {
		return 0
	}
	n := 0
	for _, at := range c.reached[part] {
		if at.Sub(c.crashes[part][4]) > contact {
			n++
		}
	}
	return n
}

// postParts sends a request with a body of its own and these prompt parts, and reports whether it
// was answered completely.
func (b *box) postParts(path string, parts ...string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	n := requestCount.Add(1)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s%d", b.Config.Requests, path, n), strings.NewReader(fmt.Sprint("body ", n)))
	if err != nil {
		b.t.Error(err)
		return false
	}
	r.Host = "h.example"
	platformtest.Sign(r, fmt.Sprint("p", n), "k1")
	platformtest.SetPromptParts(r, append(parts, fmt.Sprintf("%x:200", n))...)
	x, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = x.Body.Close() }()
	_, err = io.Copy(io.Discard, x.Body)
	return err == nil && x.StatusCode == http.StatusOK
}

// TestPromptPartThatCrashesReplicasIsKeptFromThem guards against requests that have nothing in
// common but one part of their prompts crashing replica after replica.
func TestPromptPartThatCrashesReplicasIsKeptFromThem(t *testing.T) {
	slow := func(crash platformtest.Script) platformtest.Script {
		return func(x *platformtest.Exchange) {
			delay.For(context.Background(), serviceTime/2)
			crash(x)
		}
	}
	cases := map[string]struct {
		path           string
		crash          platformtest.Script
		parts          []string
		answeredBefore bool
		// interval is that of requests with a bad part; zero selects badInterval.
		interval time.Duration
	}{
		"before the first event": {path: "/stream/", crash: platformtest.Crash, parts: []string{"bad1:300"}},
		"after the first event":  {path: "/stream/", crash: platformtest.StreamAndCrash, parts: []string{"bad1:300"}},
		"two parts":              {path: "/stream/", crash: platformtest.Crash, parts: []string{"bad1:300", "bad2:300"}},
		"rare":                   {path: "/stream/", crash: platformtest.Crash, parts: []string{"bad1:300"}, interval: 900 * time.Millisecond},
		"no stream":              {path: "/repeat/", crash: platformtest.Crash, parts: []string{"bad1:300"}},
		"answered before":        {path: "/stream/", crash: platformtest.Crash, parts: []string{"bad1:300"}, answeredBefore: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replicas := newCrashingReplicas(t, 12, slow(c.crash), c.parts...)
			playPromptParts(t, replicas, c.path, c.answeredBefore, cmp.Or(c.interval, badInterval))
		})
	}
}

// playPromptParts sends requests with the parts that crash replicas, and sound ones beside them, to
// three gateways in turn.
func playPromptParts(t *testing.T, c *crashingReplicas, path string, answeredBefore bool, interval time.Duration) {
	boxes := []*box{start(t, c.store, nil), start(t, c.store, nil), start(t, c.store, nil)}
	for _, b := range boxes {
		defer b.stop()
		eventually(t, "serves", func() bool { return b.postParts(path, firstPart, "aa:60", thirdPart) })
	}
	eventually(t, "gateways know each other", func() bool { return len(boxes[0].listed()) == len(boxes) && len(boxes[2].listed()) == len(boxes) })
	if answeredBefore {
		for i := range 30 {
			boxes[i%len(boxes)].postParts(path, firstPart, c.parts[0], thirdPart)
		}
	}
	c.armed.Store(true)
	var sent, served atomic.Int32
	var clients group.Group
	repeat := func(interval time.Duration, send func(i int, b *box)) {
		clients.Go(func(ctx context.Context) {
			for i := 0; ctx.Err() == nil; i++ {
				clients.Go(func(context.Context) { send(i, boxes[i%len(boxes)]) })
				delay.For(ctx, interval)
			}
		})
	}
	var judged atomic.Bool
	repeat(interval, func(i int, b *box) { b.postParts(path, firstPart, c.parts[i%len(c.parts)], thirdPart) })
	repeat(soundInterval, func(i int, b *box) {
		counted := judged.Load()
		ok := b.postParts(path, firstPart, fmt.Sprintf("a%d:60", i%8), thirdPart)
		if counted {
			sent.Add(1)
			if ok {
				served.Add(1)
			}
		}
	})
	// The parts are either known by then, or have crashed five replicas each.
	const crashes, least = 6, time.Second
	delay.For(context.Background(), max(crashes*interval, least)+contact)
	judged.Store(true)
	delay.For(context.Background(), 2*time.Second)
	clients.Stop()
	for _, part := range c.parts {
		if n := c.late(part); n > maxLateRequests {
			t.Errorf("%d requests with %s reached replicas later than %v after the fifth crash, %d may; %d crashed", n, part, contact, maxLateRequests, c.crashCount(part))
		}
		if c.crashCount(part) == 0 {
			t.Errorf("no replica crashed under %s", part)
		}
		t.Logf("%s: %d crashes, %d late requests, %d of %d sound requests served", part, c.crashCount(part), c.late(part), served.Load(), sent.Load())
	}
	if ratio := float64(served.Load()) / float64(sent.Load()); !(ratio >= minServed) {
		t.Errorf("%d of %d sound requests were served", served.Load(), sent.Load())
	}
}
