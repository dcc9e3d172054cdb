package forward

import (
	"context"
	"log/slog"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/group"
)

const (
	// lookFor is for how long a look at an address counts: all requests at a replica lose
	// their answers at once as it ends, and it is back much later.
	lookFor = 200 * time.Millisecond
	// lookTime bounds a look, lookPatience how long a request waits for one before it
	// goes on elsewhere: a refused connection takes the way there and back.
	lookTime     = 700 * time.Millisecond
	lookPatience = 60 * time.Millisecond
	// mostLooks is how many looks are remembered before those that no longer count go.
	mostLooks = 64
)

// endings finds out whether replicas that lost answers have ended. An answer is also lost
// where a connection breaks or a lock-step group stands, which says nothing of the
// request; an address at which nobody listens any more does. The zero value works.
type endings struct {
	mu    sync.Mutex
	looks map[graniteknot.Address]*look
	group group.Group
}

// look is one at an address.
type look struct {
	began time.Time
	// over is closed once ended is known.
	over  chan struct{}
	ended bool
}

// at begins a look at an address, or joins one that has just begun.
func (e *endings) at(a graniteknot.Address, ended func(context.Context) bool) *look {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if l := e.looks[a]; l != nil && now.Sub(l.began) < lookFor {
		return l
	}
	if e.looks == nil || len(e.looks) >= mostLooks {
		e.prune(now)
	}
	l := &look{began: now, over: make(chan struct{})}
	e.looks[a] = l
	e.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, lookTime)
		defer cancel()
		defer close(l.over)
		l.ended = ended(ctx)
	})
	return l
}

// prune forgets the looks that no longer count; called with the lock held.
func (e *endings) prune(now time.Time) {
	kept := map[graniteknot.Address]*look{}
	for a, l := range e.looks {
		if now.Sub(l.began) < lookFor {
			kept[a] = l
		}
	}
	e.looks = kept
}

// lost acts on an answer that was lost: if its replica has ended, the request is noted as
// one that it ended under. The request waits a moment for that.
func (r *run) lost(l *fleet.Lease) {
	key, f := r.key(), r.f
	look := f.endings.at(l.Replica.Address, func(ctx context.Context) bool {
		return f.Pool.Ended(ctx, l.Replica.Address, f.ConnLimit(r.job.Service))
	})
	noted := make(chan struct{})
	replica := l.Replica
	// A lock-step group stands for as long as one of its ranks is away.
	suspect := replica.Group != "" && !l.ResponseStarted()
	f.endings.group.Go(func(context.Context) {
		defer close(noted)
		<-look.over
		if look.ended {
			f.ended(r.job, key, &replica, suspect)
		}
	})
	timer := time.NewTimer(lookPatience)
	defer timer.Stop()
	select {
	case <-noted:
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// ended notes that a replica ended while it had a request.
func (f *Forwarder) ended(j *RoutedRequest, key quarantine.Key, replica *catalog.Replica, suspect bool) {
	f.Meter.Count("graniteknot_answers_lost_with_replica_total", meter.Label{Name: "service", Value: string(replica.Service)})
	fields := []slog.Attr{
		slog.String("request", string(j.ID)), slog.String("identity", key.String()), slog.String("replica", replica.Life().String()),
		slog.String("address", string(replica.Address)), slog.String("path", j.Path),
	}
	if j.Account != nil {
		fields = append(fields, slog.String("account", string(j.Account.Name)))
	}
	if q := f.Quarantine; q != nil {
		now, note := f.Clock.Now(), q.RecordCrash
		if suspect {
			note = q.RecordCrashBeforeResponse
		}
		taken := note(key, replica.Life().Mark(), now)
		fields = append(fields, slog.Bool("counted", taken), slog.Bool("suspect", suspect), slog.Bool("kept_from_replicas", q.Blocked(key, now)))
	}
	f.Log.Warn("replica ended", fields...)
}

// Stop waits for what is under way beside requests.
func (f *Forwarder) Stop() { f.endings.group.Stop() }
