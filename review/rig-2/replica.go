//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

// replicaProcess is a replica as the pages describe it, as a process of its own. It prints a line for each request that
// it runs. What a request asks for stands in its query: ms (its work), pieces (in how many parts the answer is written),
// framing (length, chunks or close) and stream (a stream of events with as many events as pieces).
type replicaProcess struct {
	id string
	// slots bounds the requests that run at once, and queue those that wait for that.
	slots  chan struct{}
	queued atomic.Int32
}

// queue is how many requests a replica of the small site lets wait.
const queue = 24

const bodySize = 800

// bodyOf returns the whole body of the answer to a request.
func bodyOf(id string) string {
	line := id + " 0123456789 abcdefghij\n"
	return strings.Repeat(line, bodySize/len(line)+1)[:bodySize]
}

// eventOf returns one event of the answer to a request for a stream.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// streamOf returns all events of the answer.
func streamOf(id string, events int) string {
	var b strings.Builder
	for n := range events {
		b.WriteString(eventOf(id, n+1))
	}
	return b.String()
}

func runReplica(id, address string, slots int) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r := &replicaProcess{id: id, slots: make(chan struct{}, slots)}
	fmt.Printf("listens %s\n", listener.Addr())
	go endWithParent()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.serve(conn)
	}
}

// endWithParent ends the process when its parent has closed the pipe, or has ended.
func endWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

func (r *replicaProcess) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			_, _ = io.WriteString(conn, head("health.txt", "replica", r.id))
			continue
		}
		if !r.answer(conn, request) {
			return
		}
	}
}

// answer runs a request; false if its connection ends with it.
func (r *replicaProcess) answer(conn net.Conn, request *http.Request) bool {
	id := platformtest.RequestID(request)
	if expected := request.Header.Get(header("expected.txt")); expected != "" && expected != r.id {
		_, _ = io.WriteString(conn, head("misdirected.txt", "id", id))
		return true
	}
	q := request.URL.Query()
	ms, _ := strconv.ParseFloat(q.Get("ms"), 64)
	pieces, _ := strconv.Atoi(q.Get("pieces"))
	pieces = max(pieces, 1)
	work := time.Duration(ms * float64(time.Millisecond))
	if r.queued.Add(1) > queue {
		r.queued.Add(-1)
		_, _ = io.WriteString(conn, head("full.txt", "id", id))
		return true
	}
	r.slots <- struct{}{}
	r.queued.Add(-1)
	defer func() { <-r.slots }()
	fmt.Printf("runs %s %d\n", id, time.Now().UnixMicro())
	lines := head("answer.txt", "id", id, "replica", r.id)
	parts := make([]string, pieces)
	framing := q.Get("framing")
	if q.Has("stream") {
		lines += "Content-Type: text/event-stream\r\n"
		for i := range parts {
			parts[i] = eventOf(id, i+1)
		}
	} else {
		body := bodyOf(id)
		for i := range parts {
			parts[i] = body[len(body)*i/pieces : len(body)*(i+1)/pieces]
		}
	}
	switch framing {
	case "chunks":
		lines += "Transfer-Encoding: chunked\r\n"
	case "close":
		lines += "Connection: close\r\n"
	default:
		lines += fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(parts, "")))
	}
	for i, part := range parts {
		time.Sleep(work / time.Duration(pieces))
		if framing == "chunks" {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if i == 0 {
			part = lines + "\r\n" + part
		}
		if _, err := io.WriteString(conn, part); err != nil {
			fmt.Printf("broken %s %d\n", id, time.Now().UnixMicro())
			return false
		}
	}
	if framing == "chunks" {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	fmt.Printf("done %s %d\n", id, time.Now().UnixMicro())
	return framing != "close"
}
