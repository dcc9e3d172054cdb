//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	hostName = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
)

var attempts atomic.Int64

// call is one client attempt and what its client saw.
type call struct {
	id, method, target string
	deadline           time.Duration
	sentAt, endedAt    time.Time
	status             int
	seal               string
	body               string
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
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Graniteknot-Attempt-Id: %s\r\nX-Graniteknot-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		c.method, c.target, hostName, c.id, c.deadline.Milliseconds(), apiKey)
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
	c.status, c.seal = response.StatusCode, response.Header.Get("X-Graniteknot-Response-Seal")
	body, err := io.ReadAll(response.Body)
	c.body, c.complete = string(body), err == nil
	return err
}
