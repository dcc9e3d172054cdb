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
	"graniteknot.org/go/internal/unframed"
)

const (
	// defaultHeaderTimeout bounds reading a request's header if the configuration sets no bound.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout bounds how long a connection stays idle if the configuration sets no
	// bound.
	defaultIdleTimeout = time.Minute
)

// servers accepts the connections at a gateway's addresses. When the limits change, a new
// http.Server takes over new connections; those that are open stay with their server.
type servers struct {
	network graniteknot.Network
	// unreadLimit is how long a caller may read nothing of a response; 0 is no limit. It is set
	// before use.
	unreadLimit time.Duration

	mu sync.Mutex
	// handler serves callers' requests.
	handler        http.Handler
	limits         catalog.Limits
	current        *http.Server
	callerListener *connListener
	httpServers    []*http.Server
	listeners      []net.Listener
	// closed tells that shutdown has begun, after which no server is started.
	closed bool
	group  group.Group
}

// serveCallers starts to accept callers' connections.
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

// acceptCallers passes each accepted connection to the current server.
func (s *servers) acceptCallers(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		listener := s.callerListener
		s.mu.Unlock()
		listener.deliver(s.boundUnread(conn))
	}
}

// setLimits applies new limits to connections accepted from now on.
func (s *servers) setLimits(l catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handler == nil || s.closed || l == s.limits {
		return
	}
	s.limits = l
	s.startServer()
}

// startServer starts a server with the current limits. The caller holds the lock.
func (s *servers) startServer() {
	server := &http.Server{
		Handler: s.handler, MaxHeaderBytes: s.limits.HeaderBytes,
		ReadHeaderTimeout: orDefault(s.limits.HeaderTime, defaultHeaderTimeout), IdleTimeout: orDefault(s.limits.IdleTime, defaultIdleTimeout),
		ErrorLog: log.New(discardLog{}, "", 0), ConnContext: unframed.ConnContext,
	}
	listener := &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s.current, s.callerListener = server, listener
	s.httpServers = append(s.httpServers, server)
	s.group.Go(func(context.Context) { _ = server.Serve(listener) })
}

// serveHandler starts to serve a handler at an address.
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

// shutdown closes the listeners and waits for open requests until ctx is done. It then has them expire, which leaves
// them a short time to answer, and aborts those that are left.
func (s *servers) shutdown(ctx context.Context, expire func()) {
	s.mu.Lock()
	s.closed = true
	running, listeners, callers := s.httpServers, s.listeners, s.callerListener
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	if callers != nil {
		_ = callers.Close()
	}
	var wait group.Group
	for _, server := range running {
		wait.Go(func(context.Context) {
			if server.Shutdown(ctx) == nil {
				return
			}
			expire()
			answered, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
			defer cancel()
			if server.Shutdown(answered) != nil {
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

// discardLog drops the messages of net/http about broken connections, which callers could
// otherwise flood the log with.
type discardLog struct{}

// Write implements io.Writer.
func (discardLog) Write(b []byte) (int, error) { return len(b), nil }
