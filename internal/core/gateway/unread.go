package gateway

import (
	"io"
	"net"
	"net/http"
	"time"

	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/membudget"
	"graniteknot.org/go/internal/core/stall"
)

const (
	// unreadLimit is how long a replica may read nothing of a request, or a caller send nothing of a
	// body. Callers abandon a stream that delivers nothing for 2 s.
	unreadLimit = 2 * time.Second
	// callerUnreadLimit is how long a caller may read nothing of a response. A replica waits with its
	// stream for up to 0.3 s longer, while the system still accepts some bytes, and has to wait for
	// less than 2 s: its slot is in use meanwhile, and it cuts off a response that stays unread.
	callerUnreadLimit = 1700 * time.Millisecond
	// bufferedShare is the part of the memory limit that the bodies of requests and responses may
	// take: an eighth. The collector lets garbage grow beside them, and a replica in trouble may send
	// bodies without end.
	bufferedShare = 8
)

// boundUnread bounds how long peers may read nothing.
func (g *Gateway) boundUnread() {
	g.Pool.UnreadLimit = unreadLimit
	g.servers.unreadLimit = callerUnreadLimit
}

// boundUnread bounds what is held for a caller that does not read.
func (s *servers) boundUnread(c net.Conn) net.Conn {
	if s.unreadLimit == 0 {
		return c
	}
	stall.BoundSystemBuffers(c)
	return &stall.Conn{Conn: c, Limit: s.unreadLimit}
}

// bufferBody reads the request's body. Its length is unknown where the limit is exceeded, so that
// the reader reports that.
func (x *exchange) bufferBody(r io.Reader, limit int, control *http.ResponseController) error {
	x.body.Budget = &x.gateway.buffered
	read := x.gateway.bodyReads.begin(control, x.readBy)
	defer read.end()
	stated := x.r.ContentLength
	if limit > 0 && stated > int64(limit) {
		stated = -1
	}
	if x.gateway.servers.unreadLimit > 0 && (stated < 0 || stated > membudget.Small) {
		r = &steadyReader{reader: r, read: read, limit: unreadLimit}
	}
	return x.body.ReadAll(r, stated)
}

// steadyReader fails where a caller sends nothing of its body for a time: the memory for the whole
// body is reserved until it was read.
type steadyReader struct {
	reader io.Reader
	read   *bodyRead
	limit  time.Duration
}

// Read implements io.Reader.
func (s *steadyReader) Read(b []byte) (int, error) {
	s.read.setDeadline(time.Now().Add(s.limit))
	return s.reader.Read(b)
}

// refuseForMemory refuses a request whose body would exceed the memory budget. The server reads the
// rest of a short body after the response, which must not take longer than a steady caller does.
func (x *exchange) refuseForMemory(control *http.ResponseController) {
	x.body.Release()
	_ = control.SetReadDeadline(time.Now().Add(unreadLimit))
	x.refuse(http.StatusServiceUnavailable, "memory", retryAfterUnavailable)
}

// refuseForStop refuses a request whose body is incomplete at a time from which on it would not be forwarded.
func (x *exchange) refuseForStop(control *http.ResponseController) {
	x.body.Release()
	_ = control.SetReadDeadline(time.Now().Add(unreadLimit))
	x.refuse(http.StatusServiceUnavailable, string(forward.ReasonStopping), 0)
}

// stopsFirst reports whether the request would not be forwarded any more, since the gateway is shutting down and not
// since its own time is over.
func (x *exchange) stopsFirst() bool {
	by := x.gateway.forwardBy(x.job.RespondBy)
	return !by.IsZero() && !by.Equal(x.job.RespondBy) && !x.gateway.Clock.Exact().Before(by)
}

// readBy returns until when the request's body is of use, by the monotonic clock that connections use; zero means
// that there is no such time.
func (x *exchange) readBy() time.Time {
	by := x.job.RespondBy
	if forwardBy := x.gateway.forwardBy(by); !forwardBy.IsZero() {
		by = forwardBy
	}
	if by.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(x.gateway.Clock.Until(by))
}
