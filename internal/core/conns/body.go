package conns

import (
	"errors"
	"sync"

	"graniteknot.org/go/internal/core/stall"
)

// bodyState is the state of a request's body that is sent while the response is read.
type bodyState struct {
	mu        sync.Mutex
	responded bool
	stalled   bool
}

func (s *bodyState) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responded, s.stalled = false, false
}

// markResponded records that the response has begun.
func (s *bodyState) markResponded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responded = true
}

// markStalled records that the replica stopped reading, and reports whether to abort the request. A
// replica that has begun to respond may leave the rest of a body unread.
func (s *bodyState) markStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = !s.responded
	return s.stalled
}

// unread reports whether the request was aborted because the replica stopped reading.
func (s *bodyState) unread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}

// sendBody sends a body while the response is awaited. Reading the response reports a broken
// connection, also one that is found here, so errors are ignored here.
func (c *Conn) sendBody(body []byte) {
	for {
		sent, err := stall.Write(c.net, body, c.unreadLimit)
		if !errors.Is(err, stall.ErrUnread) {
			return
		}
		if c.request.markStalled() {
			c.Abort()
			return
		}
		body = body[sent:]
	}
}
