package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform/platformtest"
)

const (
	// evacuationTime is the platform's evacuation_ms. evacuationSlack allows for a busy machine; with
	// slack, the bound would exceed the longest evacuation.
	evacuationTime  = 5 * time.Second
	evacuationSlack = seriesSlack
	// shortestEvacuation and longestEvacuation bound an evacuation. Half of them last as long as
	// possible, since only what arrives after the bound is checked.
	shortestEvacuation = 3 * time.Second
	longestEvacuation  = 8 * time.Second
	// evacuationPoll is the interval at which it is checked which gateways can read the store.
	evacuationPoll = 50 * time.Millisecond
	// evacuationsStream is the random stream for evacuations.
	evacuationsStream = partialOutageStream + 1
)

// evacuation is one evacuation of a zone.
type evacuation struct {
	zone graniteknot.AvailabilityZone
	// readable is when the store had accepted the record and a gateway could read it. After the time
	// within which all gateways have to know it, only a restore of the store resets it.
	readable time.Time
	// removed is when the operator removed the record; zero before.
	removed time.Time
	// unused reports whether the zone received no requests after that.
	unused bool
}

// evacuate evacuates and releases one zone after another until ctx is done.
func (w *world) evacuate(ctx context.Context, gateways []*process, choose func(int) int) {
	for ctx.Err() == nil {
		duration := longestEvacuation
		if choose(2) == 0 {
			duration = shortestEvacuation + time.Duration(choose(int(longestEvacuation-shortestEvacuation)))
		}
		e := w.beginEvacuation(w.zones[choose(len(w.zones))])
		for end := e.readable.Add(duration); ctx.Err() == nil && time.Now().Before(end); wait(ctx, evacuationPoll) {
			w.mu.Lock()
			if !dueBy(time.Now()).After(e.readable) && !slices.ContainsFunc(gateways, (*process).canReadStore) {
				e.readable = time.Now()
			}
			w.mu.Unlock()
		}
		w.mu.Lock()
		e.removed = time.Now()
		w.putEvacuation(e)
		w.mu.Unlock()
		w.awaitUse(ctx, e, gateways)
	}
}

func (w *world) beginEvacuation(zone graniteknot.AvailabilityZone) *evacuation {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &evacuation{zone: zone}
	w.evacuations = append(w.evacuations, e)
	w.putEvacuation(e)
	e.readable = time.Now()
	return e
}

// putEvacuation writes the record of an evacuation. The caller holds the lock.
func (w *world) putEvacuation(e *evacuation) {
	var value []byte
	if e.removed.IsZero() {
		value = []byte("{}")
	}
	w.store.Records.Put(graniteknot.TopicSettings, platformtest.EvacuationKey(e.zone), value)
}

// putEvacuations rewrites the newest record of each zone. The caller holds the lock.
func (w *world) putEvacuations() {
	newest := map[graniteknot.AvailabilityZone]*evacuation{}
	for _, e := range w.evacuations {
		newest[e.zone] = e
	}
	for _, e := range newest {
		w.putEvacuation(e)
	}
	w.restartEvacuations()
}

// restartEvacuations restarts the time for gateways to learn of current evacuations, which a restored
// store may lack. The caller holds the lock.
func (w *world) restartEvacuations() {
	for _, e := range w.evacuations {
		if e.removed.IsZero() {
			e.readable = time.Now()
		}
	}
}

// dueBy returns the latest time at which a record that is in force at a given time became readable.
func dueBy(at time.Time) time.Time { return at.Add(-evacuationTime - evacuationSlack) }

// canReadStore reports whether the process runs and can read the store.
func (p *process) canReadStore() bool {
	now := time.Now()
	return p.couldReadStore(now) && p.stable(now) && !p.restarted(now, now)
}

// awaitUse waits until a released zone receives a request.
func (w *world) awaitUse(ctx context.Context, e *evacuation, gateways []*process) {
	since := e.removed
	for ; ctx.Err() == nil && !w.inUse(e); wait(ctx, evacuationPoll) {
		if !slices.ContainsFunc(gateways, (*process).canReadStore) {
			since = time.Now()
		}
		// Replicas may be backing off or ejected at that time, so this uses the longer slack.
		if time.Since(since) > evacuationTime+slack {
			e.unused = true
			return
		}
	}
}

// inUse reports whether a zone has received a request since its release, or has no replicas.
func (w *world) inUse(e *evacuation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	inZone := func(s *replica) bool { return s.zone == e.zone }
	return !slices.ContainsFunc(w.replicas, inZone) || slices.ContainsFunc(w.all, func(s *replica) bool {
		arrivals := s.Arrivals()
		return inZone(s) && len(arrivals) > 0 && arrivals[len(arrivals)-1].At.After(e.removed)
	})
}

// checkEvacuations finds requests that reached an evacuated zone, and zones that received none after
// their release.
func checkEvacuations(w *world, calls []*call) []Finding {
	from := map[string]*call{}
	for _, c := range calls {
		from[c.id] = c
	}
	var out []Finding
	for _, e := range w.evacuations {
		if e.unused {
			out = append(out, Finding{"zones that were taken back serve", "-", fmt.Sprintf("%s got no requests within %v", e.zone, evacuationTime+slack)})
		}
		for _, s := range w.all {
			if late := e.late(s, from); len(late) > 0 {
				out = append(out, Finding{"evacuated zones get no requests", platformtest.RequestID(late[0].Request), fmt.Sprintf("%d reached %s in %s, the first %v after the record",
					len(late), s.ID, e.zone, late[0].At.Sub(e.readable))})
			}
		}
	}
	return out
}

// late returns the requests that reached a replica although its zone was evacuated. A gateway that was
// suspended gets as much time after it resumes as one that could not read the record.
func (e *evacuation) late(s *replica, from map[string]*call) []platformtest.Run {
	if s.zone != e.zone {
		return nil
	}
	var out []platformtest.Run
	for _, a := range s.Arrivals() {
		c := from[platformtest.RequestID(a.Request)]
		due := dueBy(a.At)
		if c != nil && due.After(e.readable) && a.At.Before(e.removed) && !c.gateway.resumedWithin(due, a.At) {
			out = append(out, a)
		}
	}
	return out
}

// resumedWithin reports whether the process was resumed after a suspension in a time span.
func (p *process) resumedWithin(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.resumed, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
