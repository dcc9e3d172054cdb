package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

const (
	// slowRead is what a slow caller reads at once, and slowReadInterval how often.
	slowRead         = 48
	slowReadInterval = 30 * time.Millisecond
)

// streamRequest is one request for a stream and its response.
type streamRequest struct {
	call   *streamCall
	number int
	// gateway is the process that the request was sent to.
	gateway *process
	// lastID is the last event that the caller has; 0 for none.
	lastID      int
	sent, ended time.Time
	// status is 0 if no head arrived.
	status int
	// isStream reports whether the response is one of events; body is what arrived of it.
	isStream bool
	body     string
	// complete reports whether the response ended in order.
	complete bool
	// stable reports whether no unplanned fault affected the gateway meanwhile, killed whether it was killed.
	stable, killed bool
}

// id returns the request's own ID.
func (r *streamRequest) id() string { return fmt.Sprintf("%s.%d", r.call.body, r.number) }

// send sends the request and reads its response.
func (r *streamRequest) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(r.gateway.requests)+r.call.path(), strings.NewReader(r.call.body))
	if err != nil {
		return
	}
	request.GetBody, request.Host = nil, host
	platformtest.Sign(request, r.id(), r.call.key.text)
	if r.call.deadline > 0 {
		platformtest.SetDeadline(request, r.call.deadline)
	}
	if r.lastID > 0 {
		platformtest.ResumeAfter(request, r.lastID)
	}
	r.sent = time.Now()
	if r.call.kind == streamHTTP10 {
		r.sendHTTP10(ctx, request)
	} else {
		r.sendHTTP11(request)
	}
	r.ended = time.Now()
	r.stable = r.gateway.stable(r.sent) && ctx.Err() == nil
	r.killed = r.gateway.wasKilled(r.sent, r.ended)
}

// sendHTTP11 sends the request on a connection of its own.
func (r *streamRequest) sendHTTP11(request *http.Request) {
	client := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := client.RoundTrip(request)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.read(resp)
}

// sendHTTP10 does so as HTTP/1.0, which net/http does not speak.
func (r *streamRequest) sendHTTP10(ctx context.Context, request *http.Request) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", string(r.gateway.requests))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", request.URL.Path, request.Host, len(r.call.body))
	_ = request.Header.Write(&b)
	if _, err := io.WriteString(conn, b.String()+"\r\n"+r.call.body); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.read(resp)
}

// read reads the response as the kind of caller does.
func (r *streamRequest) read(resp *http.Response) {
	r.status = resp.StatusCode
	// A response with an encoding is not the replica's.
	r.isStream = resp.StatusCode == http.StatusOK && resp.Header.Get("Content-Type") == "text/event-stream" && resp.Header.Get("Content-Encoding") == ""
	size := 4 << 10
	if r.call.kind == streamSlow {
		size = slowRead
	}
	part := make([]byte, size)
	for {
		n, err := resp.Body.Read(part)
		r.body += string(part[:n])
		if err != nil {
			r.complete = errors.Is(err, io.EOF)
			return
		}
		if r.call.kind == streamLeaves && len(r.body) >= r.call.leaveAfter || len(r.body) > maxStreamBody {
			return
		}
		if r.call.kind == streamSlow {
			time.Sleep(slowReadInterval)
		}
	}
}

// maxStreamBody bounds what a caller reads of a response that may have no end.
const maxStreamBody = 64 << 10

// wasKilled reports whether the process was killed in a time span. Its system closes its connections in order.
func (p *process) wasKilled(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.killed {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}
