package fleet

import (
	"slices"
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// A replica counts as unreachable when neither it nor its sidecar has been heard
	// for minSilence and at least silenceDigests digest periods, since digests may be
	// lost. That is shorter than callers wait for an event.
	minSilence     = 650 * time.Millisecond
	silenceDigests = 2.6
	// othersHeardDigests is how many digest periods ago another replica of the service
	// must have been heard. Otherwise it is this process that is cut off or was stopped.
	othersHeardDigests = 2.5
	// silenceProbeInterval is the time between two requests that probe a silent
	// replica: it may be the sidecar alone that is gone.
	silenceProbeInterval = time.Second
)

// SilenceChange reports that a replica fell silent or was heard again.
type SilenceChange struct {
	Replica catalog.ReplicaID
	Silent  bool
	// SilentFor is the time since it was last heard.
	SilentFor time.Duration
}

// Sweep returns the replicas that fell silent or were heard again since the last call,
// and the leases to reroute: those at silent replicas, those without an answer under the
// records of former lives, and those at stragglers. The caller calls Reroute on these. Sweep also serves queued requests whose
// replica's backoff has ended, and refuses those that can't be served in time.
func (t *Table) Sweep(now time.Time) (changed []SilenceChange, reroute []*Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reroute = t.silentOrphans(now)
	for _, list := range t.services {
		heard, answered := lastHeardOf(list), lastResponseOf(list)
		for _, x := range list {
			x.silenceLimit = t.silenceLimit()
			silent := x.detectSilence(heard, answered, now, t.reportPeriod())
			if silent != x.unreachable {
				x.unreachable = silent
				changed = append(changed, SilenceChange{Replica: x.replica.ID, Silent: silent, SilentFor: now.Sub(x.lastHeard())})
			}
			if silent {
				reroute = append(reroute, x.reroutable(now)...)
			}
		}
	}
	for _, list := range t.groups {
		for _, g := range list {
			reroute = append(reroute, g.stragglerLeases(now)...)
		}
	}
	t.endWarmups(now)
	t.serveAfterBackoff(now)
	return changed, reroute
}

// silenceLimit returns how long a replica may be silent.
func (t *Table) silenceLimit() time.Duration {
	return max(minSilence, time.Duration(silenceDigests*float64(t.reportPeriod())))
}

// silentOrphans returns the orphaned leases of which nothing has been heard for the
// silence limit, since their responses will not come. The caller holds the lock.
func (t *Table) silentOrphans(now time.Time) []*Lease {
	var out []*Lease
	limit := t.silenceLimit()
	t.orphaned = slices.DeleteFunc(t.orphaned, func(l *Lease) bool {
		if l.ended {
			return true
		}
		silent := now.Sub(l.orphanedAt) > limit && now.Sub(l.lastPart) > limit
		if silent {
			out = append(out, l)
		}
		return silent
	})
	return out
}

// reroutable returns the leases at a silent target that may be rerouted. Probes get
// time to show that it works.
func (t *target) reroutable(now time.Time) []*Lease {
	var out []*Lease
	for l := range t.own {
		if l.reroute != nil && (!l.silenceProbe || now.Sub(l.sent) > t.silenceLimit) {
			out = append(out, l)
		}
	}
	return out
}

// stragglerLeases returns the leases that may be rerouted from the group's stragglers.
func (g *group) stragglerLeases(now time.Time) []*Lease {
	load := groupLoadOf(g.targets, now)
	var out []*Lease
	for _, x := range g.targets {
		if !x.unreachable {
			out = append(out, x.stragglerLeases(load, now)...)
		}
	}
	return out
}

// stragglerLeases returns the leases that may be rerouted from a rank so slow that its
// own part makes all of its group's passes too long. Elsewhere they and all others
// proceed at once; here they would slow the group down until they end.
func (t *target) stragglerLeases(g groupLoad, now time.Time) []*Lease {
	pace := t.relativePace(g, now)
	if pace <= stragglerPace {
		return nil
	}
	var out []*Lease
	for l := range t.own {
		if l.reroute == nil || l.engine == nil {
			continue
		}
		if m := passModelOf(l.engine, l.maxGap, &g); m.stragglerTooSlow(pace, g.running) {
			out = append(out, l)
		}
	}
	return out
}

// lastHeard returns when the replica or its sidecar was last heard; zero without a
// sidecar, since silence shows nothing then.
func (t *target) lastHeard() time.Time {
	if t.load.Taken.IsZero() || t.load.Taken.After(t.lastResponse) {
		return t.load.Taken
	}
	return t.lastResponse
}

// detectSilence reports whether a replica is unreachable: it hasn't been heard for too
// long while others of its service have. othersHeard is when any of these was last heard,
// othersAnswered when any last sent part of a response. Reports relayed by another
// gateway don't show that this one reaches the replica; an active stream's events must.
func (t *target) detectSilence(othersHeard, othersAnswered, now time.Time, period time.Duration) bool {
	if t.load.Relayed && t.streaming() && now.Sub(t.lastResponse) > t.silenceLimit && now.Sub(othersAnswered) < time.Duration(othersHeardDigests*float64(period)) {
		return true
	}
	heard := t.lastHeard()
	return !heard.IsZero() && now.Sub(heard) > t.silenceLimit && now.Sub(othersHeard) < time.Duration(othersHeardDigests*float64(period))
}

// recentlyHeard returns those of the replicas that were heard within half of the time after which
// they count as silent, or all if none was. A request that has left a silent replica goes to one of
// these: boxes often fail together, and some of those that did are noticed earlier than others.
func recentlyHeard(list []*target, now time.Time) []*target {
	var recent []*target
	for _, x := range list {
		if heard := x.lastHeard(); heard.IsZero() || now.Sub(heard) <= x.silenceLimit/2 {
			recent = append(recent, x)
		}
	}
	if len(recent) == 0 {
		return list
	}
	return recent
}

// streaming reports whether a response from the target has started, so that an event
// is due with each pass.
func (t *target) streaming() bool {
	for l := range t.own {
		if l.started && l.engine != nil {
			return true
		}
	}
	return false
}

// withheld reports whether a silent target gets no requests now.
func (t *target) withheld(now time.Time) bool {
	return t.unreachable && now.Sub(t.lastHeard()) > t.silenceLimit && (len(t.own) > 0 || now.Sub(t.probedAt) < silenceProbeInterval)
}

// lastResponseOf returns when any target in a list last sent part of a response.
func lastResponseOf(list []*target) time.Time {
	var out time.Time
	for _, x := range list {
		if x.lastResponse.After(out) {
			out = x.lastResponse
		}
	}
	return out
}

// lastHeardOf returns when any target in a list was last heard.
func lastHeardOf(list []*target) time.Time {
	var out time.Time
	for _, x := range list {
		if heard := x.lastHeard(); heard.After(out) {
			out = heard
		}
	}
	return out
}
