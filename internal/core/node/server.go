package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/unframed"
	"graniteknot.org/go/internal/wire"
)

// headerTime bounds how long a client may take to send its headers.
const headerTime = 10 * time.Second

// Server listens for a node. Set Node; roles add their routes to Router before
// Start.
type Server struct {
	Node   *Node
	Router *mux.Router
	// Metrics is served at /debug/vars.
	Metrics *expvar.Map

	http   http.Server
	group  group.Group
	cancel context.CancelFunc
	// traffic counts the bytes of the connections that others opened.
	traffic traffic
}

// Traffic returns the bytes read from and written to the connections that
// others opened.
func (s *Server) Traffic() (read, written uint64) {
	return s.traffic.read.Load(), s.traffic.written.Load()
}

// NewServer returns a server with the routes that every process has.
func NewServer(n *Node) *Server {
	s := &Server{Node: n, Router: mux.NewRouter().UseEncodedPath(), Metrics: &expvar.Map{}}
	peer := wire.NewPeerServer(PeerService{Node: n})
	s.Router.PathPrefix(peer.PathPrefix()).Handler(peer)
	s.Router.HandleFunc("/debug/vars", s.vars).Methods(http.MethodGet)
	s.Router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	s.nodeMetrics()
	return s
}

// Start listens at the node's address.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", string(s.Node.Config.Listen)) //nolint:noctx // It ends with the server.
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.Serve(listener)
	return nil
}

// Serve serves on a listener that is open already.
func (s *Server) Serve(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	listener = &countingListener{Listener: listener, traffic: &s.traffic}
	s.http.Handler = s.Router
	s.http.ReadHeaderTimeout = headerTime
	s.http.ConnContext = unframed.ConnContext
	s.http.BaseContext = func(net.Listener) context.Context { return ctx }
	s.group.Go(func(context.Context) {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "the server ended", "listen", s.Node.Config.Listen)
		}
	})
}

// Shutdown takes no new connections and waits for requests in progress. When
// ctx is done it cancels them, so that each is told its outcome, and then
// closes.
func (s *Server) Shutdown(ctx context.Context) {
	const lastWords = 2 * time.Second
	if err := s.http.Shutdown(ctx); err != nil {
		s.cancel()
		last, cancel := context.WithTimeout(context.Background(), lastWords)
		_ = s.http.Shutdown(last)
		cancel()
	}
	s.cancel()
	_ = s.http.Close()
	s.group.Stop()
}

// Kill closes everything at once, as the death of the process would.
func (s *Server) Kill() {
	_ = s.http.Close()
	s.cancel()
	s.group.Stop()
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintln(w, s.Metrics.String())
}

// Publish adds a number to the metrics.
func (s *Server) Publish(name string, value func() any) { s.Metrics.Set(name, expvar.Func(value)) }

func (s *Server) nodeMetrics() {
	n := s.Node
	s.Publish("settings_offset", func() any { return n.Store.Position().Offset })
	s.Publish("settings_confirmed_age_ms", func() any { return n.statusReply().GetConfirmedMs() })
	s.Publish("members", func() any { return n.Members.Len() })
	s.Publish("member_stats", func() any { return n.Members.Stats() })
	s.Publish("probes", func() any { return n.counts.probes.Load() })
	s.Publish("probe_failures", func() any { return n.counts.probeFailures.Load() })
	s.Publish("syncs", func() any { return n.counts.syncs.Load() })
	s.Publish("log_reads", func() any { return n.counts.logReads.Load() })
	s.Publish("log_failures", func() any { return n.counts.logFailures.Load() })
	s.Publish("bytes_read", func() any { return s.traffic.read.Load() })
	s.Publish("bytes_written", func() any { return s.traffic.written.Load() })
	s.Publish("refused_snapshots", func() any { return n.counts.refusedSnapshots.Load() })
}
