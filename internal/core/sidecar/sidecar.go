package sidecar

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/core/watch"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// reportReadPeriod is the interval between two reads of the own rank's report, which are free.
	reportReadPeriod = 120 * time.Millisecond
	// headerTimeout bounds the time to read the headers of a call from another sidecar.
	headerTimeout = time.Second
	// maxRequest bounds a call's body; the largest ones are orders for all ranks of a group.
	maxRequest = 32 << 20
	// requestTimeout bounds the time to read a call's body.
	requestTimeout = time.Second
	// stopTimeout bounds a planned stop; no requests are in progress here.
	stopTimeout = 500 * time.Millisecond
)

// Translator decodes the records of a platform.
type Translator interface {
	// Tree decodes a settings record; nil for a record that is not a configuration.
	Tree(r graniteknot.KeyedRecord) (*catalog.Tree, error)
}

// Options are the dependencies of a Sidecar.
type Options struct {
	Config     *directconf.Config
	Store      graniteknot.KeyedStore
	Translator Translator
	// Rank returns a client of the replica at an address.
	Rank func(graniteknot.Address) held.Rank
	Log  *eventlog.Log
	// Lines is the log's writer, whose dropped lines are a metric; may be nil.
	Lines *eventlog.Writer
	Meter *meter.Meter
	Born  graniteknot.Incarnation
	// Clock measures ages and leases.
	Clock graniteknot.AgeClock
}

// Sidecar is the process on a target's box. Create it with New.
type Sidecar struct {
	Options
	Members presence.View
	Health  watch.Health

	own      held.Rank
	executor *ranks.Executor
	socket   *presence.Socket
	members  presence.MemberSync
	server   *http.Server
	// metrics serves the metrics; nil without an address for them.
	metrics *http.Server
	group   group.Group

	mu sync.Mutex
	// report is the last report of the own rank, and readAt when it was read.
	report held.Report
	readAt time.Time
	// passes measures passes; passTime is its last result.
	passes   passMeter
	passTime time.Duration
	// forecast is that of this process's coordinator; reportedSkew is the skew last reported to
	// gateways.
	forecast     ranks.Forecast
	reportedSkew float64
	// reportNow requests a report before the next one is due.
	reportNow chan struct{}
}

// New returns a sidecar that does nothing until Start.
func New(p Options) *Sidecar {
	p.Store = &watch.MeteredStore{Store: p.Store, Meter: p.Meter}
	s := &Sidecar{Options: p, own: p.Rank(p.Config.Target), reportNow: make(chan struct{}, 1)}
	s.Health.Log = p.Log
	s.executor = &ranks.Executor{Rank: s.own, Target: p.Config.Target, Log: p.Log, Meter: p.Meter, Clock: p.Clock}
	return s
}

// Start opens the listeners and starts the background loops.
func (s *Sidecar) Start(ctx context.Context) error {
	c := s.Config
	socket, err := presence.Listen(ctx, c.Peers, c.Box, s.Born, s.Log, s.receive)
	if err != nil {
		return err
	}
	s.socket = socket
	s.executor.Datagrams = socket
	socket.HandleQueries(s.executor.ServeDatagram)
	if err := s.listen(ctx); err != nil {
		return err
	}
	self := presence.Member{Box: c.Box, Role: presence.RoleSidecar, Zone: c.Zone, PeerAddress: c.Peers, Target: c.Target, Incarnation: s.Born, LinkRate: c.Link}
	s.members = presence.MemberSync{Socket: socket, View: &s.Members, Self: self, Clock: s.Clock}
	registrar := &presence.Registrar{
		Store: s.Store, View: &s.Members, Health: &s.Health, Log: s.Log, Self: self, Clock: s.Clock, SyncFromPeer: s.members.Sync,
	}
	s.group.Go(registrar.Register)
	s.group.Go(registrar.Follow)
	s.group.Go(s.reportLoop)
	s.group.Go(s.coordinate)
	s.Log.Info("started", slog.String("target", string(c.Target)), slog.String("service", string(c.TargetService)),
		slog.String("zone", string(c.Zone)), slog.Uint64("born", uint64(s.Born)))
	return nil
}

func (s *Sidecar) listen(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", string(s.Config.Peers))
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: readWhole(wire.NewRanksServer(s.executor)), ReadHeaderTimeout: headerTimeout}
	s.group.Go(func(context.Context) { _ = s.server.Serve(listener) })
	return s.listenMetrics(ctx)
}

// readWhole reads the body of each call before h handles it, bounded in bytes and in time.
func readWhole(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		err := control.SetReadDeadline(time.Now().Add(requestTimeout))
		var body []byte
		if err == nil {
			body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
		}
		if err == nil {
			// A deadline that passes later would cancel the call.
			err = control.SetReadDeadline(time.Time{})
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

// listenMetrics serves the metrics at the address in the settings.
func (s *Sidecar) listenMetrics(ctx context.Context) error {
	if s.Config.Metrics == "" {
		return nil
	}
	if s.Lines != nil {
		s.Meter.Gauge("graniteknot_log_lines_dropped", func() float64 { return float64(s.Lines.Dropped()) })
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", string(s.Config.Metrics))
	if err != nil {
		return err
	}
	serve := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.Meter.Write(w)
	}
	s.metrics = &http.Server{Handler: http.HandlerFunc(serve), ReadHeaderTimeout: headerTimeout}
	s.group.Go(func(context.Context) { _ = s.metrics.Serve(listener) })
	return nil
}

// receive handles a gateway's datagram, which announces the gateway.
func (s *Sidecar) receive(m *presence.Message) { s.Members.ApplyMessage(m, s.Clock.Now()) }

// reportLoop reports the target's load to the gateways: as often as their number allows, and urgent
// changes at once.
func (s *Sidecar) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportReadPeriod)
	defer ticker.Stop()
	lost, open := false, false
	// reported is when the last report was sent; zero before the first.
	var reported time.Time
	var lives lifeTracker
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.reportNow:
			urgent = true
		}
		report, err := s.own.Report(ctx)
		if (err != nil) != lost {
			lost = err != nil
			s.Log.Warn("target", slog.Bool("lost", lost), slog.Any("error", err))
		}
		if err != nil {
			lives.reset()
			continue
		}
		life := lives.observe(ctx, s, &report, s.Clock.Now())
		s.setReport(&report)
		to := s.gateways()
		s.sendWarmup(&lives.warmup, to, s.Clock.Now())
		urgent = urgent || report.State.GroupRunning != open
		if urgent || due(reported, s.reportPeriod(len(to)), s.Clock.Now()) {
			reported, open = s.Clock.Now(), report.State.GroupRunning
			s.sendReport(&report, life, to)
		}
	}
}

// due reports whether the next report is due: at once before the first. Reports are read at intervals,
// so one that is due within half an interval is sent now. The first case is needed because the time
// since the zero time overflows a Duration: nothing would be sent until the group runs, and gateways
// would send requests to engines whose groups have yet to form.
func due(reported time.Time, period time.Duration, now time.Time) bool {
	return reported.IsZero() || now.Sub(reported) >= period-reportReadPeriod/2
}

// setReport records a report of the own rank.
func (s *Sidecar) setReport(r *held.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executor.Observe(&r.State)
	s.report, s.readAt = *r, s.Clock.Now()
	s.passTime = s.passes.observe(r.State.Step, r.Running > 0, s.readAt)
}

// gateways returns the gateways that reports are sent to.
func (s *Sidecar) gateways() []graniteknot.Address {
	return s.Members.DirectGateways("", s.Clock.Now())
}

// reportPeriod returns the interval between two reports that are sent to so many gateways.
func (s *Sidecar) reportPeriod(receivers int) time.Duration {
	if receivers < s.Members.Count(presence.RoleGateway, "") {
		return presence.RelayedReportInterval
	}
	return presence.ReportInterval(receivers)
}

// sendReport sends a report to gateways.
func (s *Sidecar) sendReport(r *held.Report, life catalog.Mark, to []graniteknot.Address) {
	f := s.groupForecast(s.Clock.Now())
	s.mu.Lock()
	pass := s.passTime
	s.reportedSkew = f.Skew
	s.mu.Unlock()
	s.socket.Send(presence.Message{Load: &presence.LoadReport{
		Target: s.Config.Target, Running: r.Running, Waiting: r.Waiting, Pace: float32(r.Pace), GroupOpen: r.Group == "" || r.State.GroupRunning, PassMicros: pass.Microseconds(),
		Skew: float32(f.Skew), Loading: f.Loading, ForecastSequence: f.Sequence, LifeMark: life,
	}}, to)
}

// lastReport returns the last report and its age.
func (s *Sidecar) lastReport(now time.Time) (held.Report, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, now.Sub(s.readAt)
}

// Reload logs whether new settings differ. A sidecar applies settings only at its start.
func (s *Sidecar) Reload(c *directconf.Config) {
	s.Log.Info("reloaded", slog.Bool("needs_restart", *s.Config != *c))
}

// Stop stops the sidecar.
func (s *Sidecar) Stop(ctx context.Context) {
	s.Log.Info("leaving")
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := s.server.Shutdown(bounded); err != nil {
		_ = s.server.Close()
	}
	if s.metrics != nil {
		_ = s.metrics.Close()
	}
	s.group.Stop()
	s.socket.Close()
	s.Log.Info("stopped")
}
