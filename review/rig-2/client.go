//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// call is one client attempt and what its client saw.
type call struct {
	id, method, target string
	deadline           time.Duration
	// events is how many events the whole stream has.
	events          int
	sentAt, endedAt time.Time
	status          int
	seal            string
	body            string
	// complete tells that the framing of the answer marks its end.
	complete bool
	err      error
}

func newCall(method, target string, deadline time.Duration) *call {
	return &call{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)), method: method, target: target, deadline: deadline}
}

// send makes the attempt on a new connection.
func (c *call) send(w *world, address string) {
	c.sentAt = time.Now()
	c.err = c.exchange(address)
	c.endedAt = time.Now()
	w.note("client: %s %s %s sent at %.3f: status %d, %d bytes, complete %t, signature %q, %v",
		c.id, c.method, c.target, c.sentAt.Sub(w.began).Seconds(), c.status, len(c.body), c.complete, c.seal, c.err)
}

func (c *call) exchange(address string) error {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	var b strings.Builder
	b.WriteString(head("request.txt", "method", c.method, "target", c.target, "id", c.id, "prompt", "714", "answer", "240", "deadline", strconv.FormatInt(c.deadline.Milliseconds(), 10)))
	if c.method == http.MethodPost {
		b.WriteString("Content-Length: 4\r\n\r\nbody")
	} else {
		b.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return err
	}
	c.status, c.seal = response.StatusCode, response.Header.Get(header("seal.txt"))
	body, err := io.ReadAll(response.Body)
	c.body, c.complete = string(body), err == nil
	return err
}
