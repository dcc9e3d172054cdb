package entry

import (
	"context"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/member"
	"graniteknot.org/go/route"
	"graniteknot.org/go/settings"
)

// serviceName is a service of a partner.
type serviceName struct {
	partner graniteknot.Partner
	service graniteknot.Service
}

// routes holds a table for each service that was asked for.
type routes struct {
	mu     sync.Mutex
	tables map[serviceName]*route.Table
	// views holds the view that each table's targets were set from.
	views map[serviceName]*settings.ServiceView
	// heard is when each target last reported.
	heard map[graniteknot.Address]time.Time
}

// maxHeard bounds the addresses in heard, since boxes are replaced all the
// time; all are asked once more when it is reached.
const maxHeard = 8192

func newRoutes() *routes {
	return &routes{
		tables: map[serviceName]*route.Table{},
		views:  map[serviceName]*settings.ServiceView{},
		heard:  map[graniteknot.Address]time.Time{},
	}
}

// Table implements relay.Routes.
func (r *routes) Table(s *settings.ServiceView) *route.Table {
	name := serviceName{partner: s.Partner, service: s.Name}
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tables[name]
	if !ok {
		t = &route.Table{Policy: route.LeastLatency{}}
		r.tables[name] = t
	}
	if old := r.views[name]; old == nil || !sameTargets(old, s) {
		t.SetTargets(s.Targets, time.Now())
		r.views[name] = s
	}
	return t
}

func sameTargets(a, b *settings.ServiceView) bool {
	if len(a.Targets) != len(b.Targets) {
		return false
	}
	for i := range a.Targets {
		if a.Targets[i] != b.Targets[i] {
			return false
		}
	}
	return true
}

// all returns the tables.
func (r *routes) all() []*route.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*route.Table, 0, len(r.tables))
	for _, t := range r.tables {
		out = append(out, t)
	}
	return out
}

// oldest returns at most n targets that were not heard from lately.
func (r *routes) oldest(n int, now time.Time) []graniteknot.Address {
	var out []graniteknot.Address
	r.mu.Lock()
	if len(r.heard) >= maxHeard {
		clear(r.heard)
	}
	r.mu.Unlock()
	for _, t := range r.all() {
		for _, a := range t.Addresses() {
			r.mu.Lock()
			due := now.Sub(r.heard[a]) > reportFresh
			if due && len(out) < n {
				out = append(out, a)
				r.heard[a] = now
			}
			r.mu.Unlock()
		}
	}
	return out
}

// report gives a target's load to every table that has the target.
func (r *routes) report(a graniteknot.Address, l *wire.Load, now time.Time) {
	load := relay.LoadFromWire(l)
	for _, t := range r.all() {
		t.UpdateLoad(a, load, now)
	}
}

func (r *routes) stats() []route.Stats {
	var out []route.Stats
	for _, t := range r.all() {
		out = append(out, t.Stats())
	}
	return out
}

// wordStep gives the tables what members, box list and settings say, and makes tables
// for new services, so that targets report before the first request.
func (e *Entry) wordStep(context.Context) {
	for _, s := range e.node.Store.Tree().Services(e.node.Config.Partner) {
		e.routes.Table(s)
	}
	for _, t := range e.routes.all() {
		for _, a := range t.Addresses() {
			t.SetStatus(a, e.word(a))
		}
	}
}

func (e *Entry) word(a graniteknot.Address) route.TargetStatus {
	w := route.TargetStatus{Leaving: e.node.BoxLeaving(a)}
	m, ok := e.node.Members.Get(a)
	if !ok {
		return w
	}
	w.Zone = m.Zone
	w.Leaving = w.Leaving || m.State == member.StateLeaving || e.node.Store.Tree().Evacuated(e.node.Config.Partner, m.Zone)
	w.Down = m.State == member.StateDead
	return w
}

// reportStep asks a few targets for their load.
func (e *Entry) reportStep(ctx context.Context) {
	for _, a := range e.routes.oldest(reportsEach, time.Now()) {
		bounded, cancel := context.WithTimeout(ctx, reportTime)
		load, err := e.node.Client.Report(bounded, a)
		cancel()
		if err == nil {
			e.routes.report(a, load, time.Now())
		}
	}
}
