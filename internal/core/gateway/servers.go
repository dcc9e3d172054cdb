package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/group"
)

const (
	// headTime bounds the head of a request where the configuration does not.
	headTime = 5 * time.Second
	// idleTime is how long a connection rests where the configuration does not
	// say.
	idleTime = time.Minute
)

// servers takes the connections at a gateway's addresses. A change of the
// limits begins a new http.Server, which takes the connections from then on;
// those that are open stay with the server that took them.
type servers struct {
	network graniteknot.Network

	mu sync.Mutex
	// handler answers callers' requests.
	handler http.Handler
	limits  catalog.Limits
	current *http.Server
	inlet   *inlet
	all     []*http.Server
	open    []net.Listener
	group   group.Group
}

// requests begins to take callers' connections.
func (s *servers) requests(ctx context.Context, a graniteknot.Address, h http.Handler) error {
	listener, err := s.listen(ctx, a)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.handler = h
	s.renew()
	s.mu.Unlock()
	s.group.Go(func(context.Context) { s.accept(listener) })
	return nil
}

func (s *servers) listen(ctx context.Context, a graniteknot.Address) (net.Listener, error) {
	listener, err := s.network.Listen(ctx, a)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, listener)
	return listener, nil
}

func (s *servers) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		in := s.inlet
		s.mu.Unlock()
		in.put(conn)
	}
}

// limit takes new limits into force.
func (s *servers) limit(l catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handler == nil || l == s.limits {
		return
	}
	s.limits = l
	s.renew()
}

// renew begins a server with the limits in force; called with the lock held.
func (s *servers) renew() {
	server := &http.Server{
		Handler: s.handler, MaxHeaderBytes: s.limits.HeaderBytes,
		ReadHeaderTimeout: orTime(s.limits.HeaderTime, headTime), IdleTimeout: orTime(s.limits.IdleTime, idleTime),
		ErrorLog: log.New(discard{}, "", 0),
	}
	in := &inlet{conns: make(chan net.Conn), done: make(chan struct{})}
	s.current, s.inlet = server, in
	s.all = append(s.all, server)
	s.group.Go(func(context.Context) { _ = server.Serve(in) })
}

// plain serves a handler at an address.
func (s *servers) plain(ctx context.Context, a graniteknot.Address, h http.Handler) error {
	listener, err := s.listen(ctx, a)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, ErrorLog: log.New(discard{}, "", 0)}
	s.mu.Lock()
	s.all = append(s.all, server)
	s.mu.Unlock()
	s.group.Go(func(context.Context) { _ = server.Serve(listener) })
	return nil
}

// close lets the open requests end until ctx is done, then breaks them off.
func (s *servers) close(ctx context.Context) {
	s.mu.Lock()
	all, open, in := s.all, s.open, s.inlet
	s.mu.Unlock()
	for _, l := range open {
		_ = l.Close()
	}
	if in != nil {
		_ = in.Close()
	}
	var wait group.Group
	for _, server := range all {
		wait.Go(func(context.Context) {
			if err := server.Shutdown(ctx); err != nil {
				_ = server.Close()
			}
		})
	}
	wait.Wait()
	s.group.Wait()
}

func orTime(v, fallback time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return fallback
}

// discard drops what net/http says of broken connections, which callers cause
// at will.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(b []byte) (int, error) { return len(b), nil }
