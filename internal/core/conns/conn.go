package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"graniteknot.org/go/internal/core/stall"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/strict"
)

const (
	// inlineBody is the largest body that is sent before the response is read; a larger one is
	// sent concurrently, since a replica may respond without reading all of it.
	inlineBody = 32 << 10
	// copiedBody is the largest body that is copied into the buffer of the head where memory is
	// bounded.
	copiedBody = 4 << 10
	// maxStaleResponses bounds the responses to earlier requests that are discarded.
	maxStaleResponses = 2
	readBuffer        = 4 << 10
	// maxDiscarded and discardTimeout bound what is read of a body that is not needed, which is
	// cheaper than another connection only if it is short.
	maxDiscarded   = 4 << 10
	discardTimeout = 20 * time.Millisecond
)

// Conn is one connection to a replica. It carries one request at a time.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	// head is what reader reads from; maxHead bounds the heads before the body of a response.
	head    *headReader
	maxHead int
	// keepAliveTimeout is how long the replica keeps an idle connection; 0 is unknown.
	keepAliveTimeout time.Duration
	idleSince        time.Time
	// unusable connections are closed after their request.
	unusable bool
	writer   group.Group
	// unreadLimit is how long the replica may read nothing of a request; 0 is no limit.
	unreadLimit time.Duration
	// request is the state of the last request's body.
	request bodyState
}

// Call is a request as it is sent.
type Call struct {
	Method string
	// Head is the request line and the headers, with the empty line that ends them.
	Head []byte
	Body []byte
	// Matches reports whether a response with these headers belongs to this request.
	Matches func(http.Header) bool
}

// Abort makes all operations on the connection fail; it may be called concurrently. It resets the
// connection: after an orderly close, bytes of a request that the network delays would still reach
// the replica.
func (c *Conn) Abort() {
	stall.Reset(c.net)
	_ = c.net.Close()
}

// Do sends a request and reads the headers of its response. The caller must read the body and
// return the connection to the pool.
func (c *Conn) Do(call *Call) (*http.Response, error) {
	c.request.begin()
	if err := c.send(call); err != nil {
		return nil, err
	}
	response, err := c.readResponse(call)
	if err != nil {
		c.unusable = true
	}
	return response, err
}

// readResponse reads the head of the response to a call, after those of 1xx responses and the
// responses to earlier requests.
func (c *Conn) readResponse(call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	c.head.bounded, c.head.left = true, c.maxHead
	defer func() { c.head.bounded = false }()
	for skipped, informational := 0, 0; ; {
		response, err := c.readHead(request)
		if err != nil {
			return nil, c.readError(err)
		}
		if err := strict.Check(response); err != nil {
			return nil, c.readError(fmt.Errorf("%w: %w", errNotHTTP, err))
		}
		if response.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return nil, c.readError(errTooLarge)
			}
			continue
		}
		if call.Matches(response.Header) {
			c.request.markResponded()
			c.applyHeaders(response)
			return response, nil
		}
		if skipped++; skipped > maxStaleResponses || !c.discard(response) {
			return nil, &Error{Op: "read answer", Kind: KindSpoiled, Err: errors.New("answer to another request")}
		}
	}
}

// readError returns the error for a response whose head could not be read. A connection whose bytes
// exceed a bound is reset, since its peer may send on without end.
func (c *Conn) readError(err error) error {
	switch {
	case c.request.unread():
		return &Error{Op: "send", Kind: KindUnread, Err: err}
	case errors.Is(err, errTooLarge):
		c.Abort()
		return &Error{Op: "read answer", Kind: KindTooLarge, Err: err}
	case errors.Is(err, errNotHTTP), errors.Is(err, errFraming):
		c.Abort()
	}
	return &Error{Op: "read answer", Kind: readKind(err), Err: err}
}

// readKind distinguishes a connection that broke from bytes that are not a response.
func readKind(err error) Kind {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network) {
		return KindLost
	}
	return KindSpoiled
}

func (c *Conn) send(call *Call) error {
	if c.unreadLimit > 0 && len(call.Body) > copiedBody && len(call.Body) <= inlineBody {
		sent, err := stall.Write(c.net, call.Head, c.unreadLimit)
		if err == nil {
			sent, err = stall.Write(c.net, call.Body, c.unreadLimit)
			sent += len(call.Head)
		}
		return c.sendError(sent, err)
	}
	if len(call.Body) <= inlineBody {
		sent, err := stall.Write(c.net, append(call.Head, call.Body...), c.unreadLimit)
		return c.sendError(sent, err)
	}
	sent, err := stall.Write(c.net, call.Head, c.unreadLimit)
	if err != nil {
		return c.sendError(sent, err)
	}
	// The connection can't be reused until the whole body is sent.
	c.unusable = true
	c.writer.Go(func(context.Context) { c.sendBody(call.Body) })
	return nil
}

func (c *Conn) sendError(sent int, err error) error {
	if err == nil {
		return nil
	}
	c.unusable = true
	if sent == 0 {
		return &Error{Op: "send", Kind: KindUnsent, Err: err}
	}
	if errors.Is(err, stall.ErrUnread) {
		return &Error{Op: "send", Kind: KindUnread, Err: err}
	}
	return &Error{Op: "send", Kind: KindLost, Err: err}
}

// discard reads a response to an earlier request to its end; false if the end is not known or too far.
func (c *Conn) discard(response *http.Response) bool {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.ContentLength > maxStaleBody {
		return false
	}
	c.head.bounded = false
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBody+1))
	c.head.bounded = true
	return err == nil && n <= maxStaleBody
}

// DiscardRest reads the rest of a response that is not needed, if it is short and comes soon, and reports
// whether the connection can be used again.
func (c *Conn) DiscardRest(response *http.Response) bool {
	if response.ContentLength > maxDiscarded {
		return false
	}
	if err := c.net.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscarded+1))
	return err == nil && n <= maxDiscarded && c.net.SetReadDeadline(time.Time{}) == nil
}

// applyHeaders applies what a response's headers say about the connection.
func (c *Conn) applyHeaders(response *http.Response) {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		c.unusable = true
	}
	if bound, ok := keepAlive(response.Header); ok {
		c.keepAliveTimeout = bound
	}
}

// noDataPending reports whether there is nothing to read on an idle connection: data there belongs
// to no request.
func (c *Conn) noDataPending() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Close closes the connection and waits until no body is being sent.
func (c *Conn) Close() {
	_ = c.net.Close()
	c.writer.Wait()
}
