package forward

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/group"
)

const (
	// probeReuse is how long the result of a probe is reused: all requests at a replica lose
	// their responses at once when it crashes, and a restart takes much longer.
	probeReuse = 200 * time.Millisecond
	// probeTimeout bounds a probe, probeWait how long a request waits for it before the next
	// attempt: a connection is refused within one round trip.
	probeTimeout = 700 * time.Millisecond
	probeWait    = 60 * time.Millisecond
	// maxProbes is the number of stored probes at which outdated ones are removed.
	maxProbes = 64
)

// crashDetector finds out whether replicas whose responses were lost have crashed. Responses
// are also lost when a connection breaks or a lock-step group stalls, for which the request
// is not to blame; that nothing listens at the address any more proves a crash. The zero
// value is ready to use.
type crashDetector struct {
	mu         sync.Mutex
	probes     map[graniteknot.Address]*crashProbe
	background group.Group
}

// crashProbe is one check of an address.
type crashProbe struct {
	started time.Time
	// done is closed once state is set.
	done  chan struct{}
	state conns.ListenState
}

// startProbe starts a probe of an address, or returns one that has just started.
func (d *crashDetector) startProbe(a graniteknot.Address, check func(context.Context) conns.ListenState) *crashProbe {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if probe := d.probes[a]; probe != nil && now.Sub(probe.started) < probeReuse {
		return probe
	}
	if d.probes == nil || len(d.probes) >= maxProbes {
		d.prune(now)
	}
	probe := &crashProbe{started: now, done: make(chan struct{})}
	d.probes[a] = probe
	d.background.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		defer close(probe.done)
		probe.state = check(ctx)
	})
	return probe
}

// prune removes outdated probes. The caller holds the lock.
func (d *crashDetector) prune(now time.Time) {
	kept := map[graniteknot.Address]*crashProbe{}
	for a, probe := range d.probes {
		if now.Sub(probe.started) < probeReuse {
			kept[a] = probe
		}
	}
	d.probes = kept
}

// checkCrash handles a lost response: if its replica has crashed, the crash is recorded for
// the request. The request waits for that for at most probeWait.
func (r *inflightRequest) checkCrash(l *fleet.Lease) {
	subject, f := r.subject(), r.f
	probe := f.crashes.startProbe(l.Replica.Address, func(ctx context.Context) conns.ListenState {
		return f.Pool.Probe(ctx, l.Replica.Address, f.ConnLimit(r.request.Service))
	})
	recorded := make(chan struct{})
	replica := l.Replica
	started, survived := l.ResponseStarted(), r.survived()
	f.crashes.background.Go(func(context.Context) {
		defer close(recorded)
		<-probe.done
		switch {
		case probe.state == conns.ListenStateRefused:
			f.recordCrash(r.request, subject, &replica, started)
		case probe.state == conns.ListenStateOpen && survived && f.Quarantine != nil:
			f.Quarantine.RecordSurvival(subject.Parts, f.Clock.Now())
		}
	})
	timer := time.NewTimer(probeWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// formatParts returns the parts separated by commas.
func formatParts(parts []PromptPart) string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.String()
	}
	return strings.Join(out, ",")
}

// recordCrash records and logs that a replica crashed while it worked on a request.
func (f *Forwarder) recordCrash(request *RoutedRequest, subject *quarantine.Subject, replica *catalog.Replica, started bool) {
	// A lock-step group stalls for as long as one of its ranks is missing.
	suspect := replica.Group != "" && !started
	f.Meter.Count("graniteknot_answers_lost_with_replica_total", serviceLabel(replica.Service))
	fields := []slog.Attr{
		slog.String("request", string(request.ID)), slog.String("identity", subject.Request.String()), slog.String("replica", replica.Life().String()),
		slog.String("address", string(replica.Address)), slog.String("path", request.Path),
		slog.String("model", request.Model), slog.String("parts", formatParts(request.PromptParts)), slog.Bool("response_started", started),
	}
	if request.Account != nil {
		fields = append(fields, slog.String("account", string(request.Account.Name)))
	}
	if q := f.Quarantine; q != nil {
		now := f.Clock.Now()
		counted := q.RecordSubjectCrash(subject, replica.Life().Mark(), suspect, now)
		fields = append(fields, slog.Bool("counted", counted), slog.Bool("suspect", suspect), slog.Bool("kept_from_replicas", q.BlockedKey(subject, now) != nil))
	}
	f.Log.Warn("replica ended", fields...)
}

// Stop ends the background probes and waits for them.
func (f *Forwarder) Stop() { f.crashes.background.Stop() }
