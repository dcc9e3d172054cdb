package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

// callTime bounds one call.
const callTime = 25 * time.Second

// call is one request and what its caller received.
type call struct {
	id   string
	once bool
	key  *key
	// parts are those of the request's prompt; none for no prompt.
	parts []string
	// gateway is the process that the request was sent to.
	gateway *process
	sent    time.Time
	ended   time.Time
	// status is 0 if no complete response arrived.
	status int
	body   string
	// stable reports whether no unplanned fault affected the gateway during the call.
	stable bool
	// storeReadable reports whether the gateway could read the store for long enough to know which
	// replicas are leaving.
	storeReadable bool
}

// caller sends requests one after another over its own persistent connections.
type caller struct {
	name   string
	choose func(n int) int
	// key returns the key of the next call.
	key    func() *key
	client *http.Client
	// prompts gives the requests prompts.
	prompts bool

	mu    sync.Mutex
	calls []*call
}

func newCaller(n int, w *world, choose func(int) int) *caller {
	return &caller{
		name: fmt.Sprint("c", n), choose: choose, key: func() *key { return w.key(choose(recentKeys)) },
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

// run calls the gateways until ctx is done.
func (c *caller) run(ctx context.Context, gateways []*process) {
	for i := 0; ctx.Err() == nil; i++ {
		c.one(ctx, i, gateways[c.choose(len(gateways))])
		time.Sleep(time.Duration(c.choose(20)) * time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

func (c *caller) one(ctx context.Context, i int, to *process) {
	c.send(ctx, &call{id: fmt.Sprintf("%s-%d", c.name, i), once: c.choose(2) == 0, key: c.key(), gateway: to, parts: c.parts(i)}, "")
}

// send sends a request with a body and records the call.
func (c *caller) send(ctx context.Context, x *call, body string) {
	to := x.gateway
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	path := "/repeat/x"
	if x.once {
		path = "/once/x"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to.requests)+path, strings.NewReader(body))
	if err != nil {
		return
	}
	// Without this, net/http would resend the request after a broken connection.
	r.GetBody = nil
	r.Host = host
	platformtest.Sign(r, x.id, x.key.text)
	if len(x.parts) > 0 {
		platformtest.SetPromptParts(r, x.parts...)
	}
	x.sent = time.Now()
	x.status, x.body = c.ask(r)
	x.ended = time.Now()
	x.storeReadable = to.couldReadStore(x.sent.Add(-drainTime - slack))
	x.stable = to.stable(x.sent) && ctx.Err() == nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, x)
}

// ask returns a complete response, or a status of 0.
func (c *caller) ask(r *http.Request) (int, string) {
	answer, err := c.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(body)
}
