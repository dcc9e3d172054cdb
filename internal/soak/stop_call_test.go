package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/platform/platformtest"
)

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
