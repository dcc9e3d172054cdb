package soak_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/platform/platformtest"
)

const (
	stopBound = 8 * time.Second
	// lateFrom is from when on in a stop a request counts as late. A request that is sent later and is passed on has to be answered.
	lateFrom = 3 * time.Second
	// atOnce is how soon a request is refused that can't be served any more.
	atOnce = 500 * time.Millisecond
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

// stopCall is a request around a planned stop. Its times count from the stop's begin.
type stopCall struct {
	id, route string
	// connect is when the connection is opened, head when the head is complete, end when the body is: as drawn,
	// and as they were once the request is sent.
	connect, head, end time.Duration
	// work is how long its replica works, wait how long its caller waits.
	work, wait time.Duration

	// status is that of the response; 0 without one, which came at answered.
	status   int
	closes   bool
	answered time.Duration
	err      error
}

func (c *stopCall) String() string {
	return fmt.Sprintf("%s: opened %v, head %v, sent %v, work %v, waits %v: status %d at %v, %v", c.route, c.connect, c.head, c.end, c.work, c.wait, c.status, c.answered, c.err)
}

// newStopCall draws a call.
func newStopCall(number int, random *rand.Rand) *stopCall {
	pick := func(of ...time.Duration) time.Duration { return of[random.IntN(len(of))] }
	within := func(from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)+1))
	}
	c := &stopCall{
		id: fmt.Sprint("call-", number), route: []string{"once", "repeat", "stream"}[random.IntN(3)],
		work: pick(20*time.Millisecond, 200*time.Millisecond, time.Second, 4*time.Second, 6*time.Second), wait: pick(500*time.Millisecond, 1500*time.Millisecond, 8*time.Second, 20*time.Second),
	}
	c.connect = within(-500*time.Millisecond, 2300*time.Millisecond)
	c.head = within(c.connect, c.connect+2800*time.Millisecond)
	c.end = within(c.head, 7100*time.Millisecond)
	return c
}

// run sends the request to a gateway whose stop begins at a time.
func (c *stopCall) run(ctx context.Context, address string, began time.Time) {
	until := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	until(c.connect)
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(stopBound + 4*time.Second))
	const body = "a body of some bytes"
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+c.route+"/"+strconv.FormatInt(c.work.Milliseconds(), 10), strings.NewReader(body))
	request.Host = "h.example"
	platformtest.SignWithin(request, c.id, "k1", c.wait)
	var text strings.Builder
	_ = request.Write(&text)
	head := strings.TrimSuffix(text.String(), body)
	var sender group.Group
	defer sender.Wait()
	sender.Go(func(context.Context) {
		_, _ = io.WriteString(conn, head[:len(head)/2])
		until(c.head)
		c.head = time.Since(began)
		_, _ = io.WriteString(conn, head[len(head)/2:]+body[:len(body)-1])
		until(c.end)
		c.end = time.Since(began)
		_, _ = io.WriteString(conn, body[len(body)-1:])
	})
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	c.answered = time.Since(began)
	if c.err = err; err != nil {
		return
	}
	c.closes = response.Close
	_, c.err = io.Copy(io.Discard, response.Body)
	if _ = response.Body.Close(); c.err == nil {
		c.status = response.StatusCode
	}
}

// working is a replica that works for the time that a request's path says.
func working(x *platformtest.Exchange) {
	x.Run()
	work, _ := strconv.Atoi(x.Request.URL.Path[strings.LastIndex(x.Request.URL.Path, "/")+1:])
	time.Sleep(time.Duration(work) * time.Millisecond)
	event := platformtest.Event(1, "token")
	x.Head(http.StatusOK, len(event), platformtest.Seal, "Content-Type: text/event-stream")
	x.Write(event)
}

// startWorking starts a store with replicas that work, and returns those.
func startWorking(t *testing.T, count int) (graniteknot.Address, []*platformtest.Replica) {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	var replicas []*platformtest.Replica
	for i := range count {
		r, err := platformtest.NewReplica(fmt.Sprint("i-", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		r.Always(working)
		replicas = append(replicas, r)
		store.Records.Put(graniteknot.TopicReplicas, r.ID, platformtest.Record("s", r.Address(), false))
	}
	store.Records.Put(graniteknot.TopicSettings, "config", platformtest.Config(1, "h.example", "s", []string{"k1"}))
	return store.Address(), replicas
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

// TestRequestsLateInAPlannedStop guards against requests that a stopping gateway passes on and cuts off at its end, or holds although it won't serve them.
func TestRequestsLateInAPlannedStop(t *testing.T) {
	const calls, replicas = 160, 16
	seed, err := strconv.ParseUint(os.Getenv("GRANITEKNOT_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	random := rand.New(rand.NewPCG(seed, 0))
	store, all := startWorking(t, replicas)
	g := startGateway(t, 0, store, stopBound)
	g.awaitServing(t)
	began := time.Now().Add(600 * time.Millisecond)
	var callers group.Group
	var drawn []*stopCall
	for i := range calls {
		c := newStopCall(i, random)
		drawn = append(drawn, c)
		callers.Go(func(ctx context.Context) { c.run(ctx, g.requests, began) })
	}
	time.Sleep(time.Until(began))
	if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := g.command.Wait(); err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
	if took := time.Since(began); took > stopBound {
		t.Errorf("the gateway ended after %v", took)
	}
	callers.Wait()
	ran := map[string]bool{}
	for _, r := range all {
		for _, x := range r.Ran() {
			ran[platformtest.RequestID(x)] = true
		}
	}
	outcomes := map[string]int{}
	late := lateFrom + g.leftAt(t).Sub(began)
	for _, c := range drawn {
		outcomes[fmt.Sprintf("status %d, ran %v", c.status, ran[c.id])]++
		c.check(t, ran[c.id], late)
	}
	t.Logf("seed %d: %v, stopped %v after the signal", seed, outcomes, late-lateFrom)
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

// TestStopGoesByTheReloadedBound guards against a stop that goes by the bound of the process's start and cuts requests off.
func TestStopGoesByTheReloadedBound(t *testing.T) {
	const first, work = 3 * time.Second, 5 * time.Second
	store, _ := startWorking(t, 1)
	g := startGateway(t, 1, store, first)
	g.awaitServing(t)
	g.write(t, stopBound)
	if err := g.command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	g.awaitLine(t, `"msg":"reloaded"`)
	c := &stopCall{id: "long", route: "once", head: 100 * time.Millisecond, end: 100 * time.Millisecond, work: work, wait: 20 * time.Second}
	var caller group.Group
	began := time.Now()
	caller.Go(func(ctx context.Context) { c.run(ctx, g.requests, began) })
	time.Sleep(2 * c.end)
	if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := g.command.Wait(); err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
	caller.Wait()
	if c.status != http.StatusOK {
		t.Errorf("not served: %v", c)
	}
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

// check checks what a caller got of a gateway at which requests count as late from a time on.
func (c *stopCall) check(t *testing.T, ran bool, late time.Duration) {
	t.Helper()
	const margin = 150 * time.Millisecond
	// The caller's time begins with its head.
	expired := c.end+margin > c.head+c.wait
	certain := c.head+c.wait < stopBound-time.Second
	switch {
	case ran && c.status == 0:
		t.Errorf("passed on and cut off: %v", c)
	case ran && c.end > late+margin && c.status != http.StatusOK && (!certain || c.status != http.StatusGatewayTimeout):
		t.Errorf("passed on late and not served: %v", c)
	case ran && c.status == http.StatusServiceUnavailable:
		t.Errorf("said not to have run: %v", c)
	case !ran && c.status == 0 && c.head < 2*time.Second:
		t.Errorf("read and not answered: %v", c)
	case !ran && c.status == http.StatusServiceUnavailable && c.answered > max(c.head, late)+atOnce:
		t.Errorf("refused late: %v", c)
	case !ran && c.status == http.StatusServiceUnavailable && !expired && (certain || c.end < late-margin):
		t.Errorf("could have been served: %v", c)
	case c.status != 0 && c.answered > margin && !c.closes:
		t.Errorf("not told to close its connection: %v", c)
	}
}
