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
	// defaultHeaderTimeout bounds the head of a request where the configuration does not.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is how long a connection rests where the configuration does not
	// say.
	defaultIdleTimeout = time.Minute
)

// servers takes the connections at a gateway's addresses. A change of the
// limits begins a new http.Server, which takes the connections from then on;
// those that are open stay with the server that took them.
type servers struct {
	network graniteknot.Network

	mu sync.Mutex
	// handler answers callers' requests.
	handler        http.Handler
	limits         catalog.Limits
	current        *http.Server
	callerListener *connListener
	httpServers    []*http.Server
	listeners      []net.Listener
	group          group.Group
}

// serveCallers begins to take callers' connections.
func (s *servers) serveCallers(ctx context.Context, a graniteknot.Address, h http.Handler) error {
	listener, err := s.listen(ctx, a)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.handler = h
	s.startServer()
	s.mu.Unlock()
	s.group.Go(func(context.Context) { s.acceptCallers(listener) })
	return nil
}

func (s *servers) listen(ctx context.Context, a graniteknot.Address) (net.Listener, error) {
	listener, err := s.network.Listen(ctx, a)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
	return listener, nil
}

func (s *servers) acceptCallers(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		in := s.callerListener
		s.mu.Unlock()
		in.deliver(conn)
	}
}

// setLimits takes new limits into force.
func (s *servers) setLimits(l catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handler == nil || l == s.limits {
		return
	}
	s.limits = l
	s.startServer()
}

// startServer begins a server with the limits in force; called with the lock held.
func (s *servers) startServer() {
	server := &http.Server{
		Handler: s.handler, MaxHeaderBytes: s.limits.HeaderBytes,
		ReadHeaderTimeout: orDefault(s.limits.HeaderTime, defaultHeaderTimeout), IdleTimeout: orDefault(s.limits.IdleTime, defaultIdleTimeout),
		ErrorLog: log.New(discardLog{}, "", 0),
	}
	in := &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s.current, s.callerListener = server, in
	s.httpServers = append(s.httpServers, server)
	s.group.Go(func(context.Context) { _ = server.Serve(in) })
}

// serveHandler serves a handler at an address.
func (s *servers) serveHandler(ctx context.Context, a graniteknot.Address, h http.Handler) error {
	listener, err := s.listen(ctx, a)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: log.New(discardLog{}, "", 0)}
	s.mu.Lock()
	s.httpServers = append(s.httpServers, server)
	s.mu.Unlock()
	s.group.Go(func(context.Context) { _ = server.Serve(listener) })
	return nil
}

// shutdown lets the open requests end until ctx is done, then breaks them off.
func (s *servers) shutdown(ctx context.Context) {
	s.mu.Lock()
	all, open, in := s.httpServers, s.listeners, s.callerListener
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

func orDefault(v, fallback time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return fallback
}

// discardLog drops what net/http says of broken connections, which callers cause
// at will.
type discardLog struct{}

// Write implements io.Writer.
func (discardLog) Write(b []byte) (int, error) { return len(b), nil }
