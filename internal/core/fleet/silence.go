package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// leastSilence is how long neither a replica nor its sidecar may be heard
	// before the replica is taken to be cut off, and silentDigests how many digests
	// that is at least, some of which may be lost. It is less than callers wait for
	// an event.
	leastSilence  = 650 * time.Millisecond
	silentDigests = 2.6
	// othersHeard is how many digests ago another replica of the service was heard
	// at most. When none was, it is this process that is cut off or stood still.
	othersHeard = 2.5
	// silentTrial is the time between two requests that find out whether a
	// silent replica works: it may be the sidecar alone that is gone.
	silentTrial = time.Second
)

// SilenceChange tells that a replica fell silent, or was heard again.
type SilenceChange struct {
	Replica catalog.ReplicaID
	Silent  bool
	// SilentFor is how long ago the last sign of life was.
	SilentFor time.Duration
}

// Sweep tells which replicas fell silent, or were heard again, since the last
// call, and returns the own requests at silent ones, and at lives that have ended,
// that may be moved. Call Move on these. Those who wait for a place get one whose
// replica has rested meanwhile, or are told that none will in time.
func (t *Table) Sweep(now time.Time) (changed []SilenceChange, stuck []*Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stuck, t.stranded = t.stranded, nil
	for _, list := range t.services {
		last, answered := newest(list), answered(list)
		for _, x := range list {
			x.patience = max(leastSilence, time.Duration(silentDigests*float64(t.period())))
			silent := x.silent(last, answered, now, t.period())
			if silent != x.cutOff {
				x.cutOff = silent
				changed = append(changed, SilenceChange{Replica: x.replica.ID, Silent: silent, SilentFor: now.Sub(x.life())})
			}
			if silent {
				stuck = append(stuck, x.stuck(now)...)
			}
		}
	}
	for _, list := range t.groups {
		for _, g := range list {
			stuck = append(stuck, g.crippling(now)...)
		}
	}
	t.wake(now)
	return changed, stuck
}

// stuck returns the own requests at a silent target that may be moved. Those
// that were sent to find out whether it works get the time to show it.
func (t *target) stuck(now time.Time) []*Lease {
	var out []*Lease
	for l := range t.own {
		if l.move != nil && (!l.risked || now.Sub(l.sent) > t.patience) {
			out = append(out, l)
		}
	}
	return out
}

// crippling returns the own requests that may be moved from ranks that are too slow.
func (g *group) crippling(now time.Time) []*Lease {
	load := loadOf(g.targets, now)
	var out []*Lease
	for _, x := range g.targets {
		if !x.cutOff {
			out = append(out, x.crippling(load, now)...)
		}
	}
	return out
}

// crippling returns the own requests that may be moved from a rank that is so slow
// that its own part makes all of its group's passes too long. Elsewhere they, and all
// others, go on at once; there they would keep the group slow until they end.
func (t *target) crippling(g groupLoad, now time.Time) []*Lease {
	slower := t.slower(g, now)
	if slower <= slowPace {
		return nil
	}
	var out []*Lease
	for l := range t.own {
		if l.move == nil || l.engine == nil {
			continue
		}
		if r := roomOf(l.engine, l.gap, &g); r.cripples(slower, g.running) {
			out = append(out, l)
		}
	}
	return out
}

// life is the last sign of life of a replica that has a sidecar; zero for one
// that has none, of which silence says nothing.
func (t *target) life() time.Time {
	if t.load.Taken.IsZero() || t.load.Taken.After(t.heard) {
		return t.load.Taken
	}
	return t.heard
}

// silent tells whether a replica is cut off: it was not heard for too long while
// others of its service were, of which newest is the last sign of life and answered the
// last part of an own answer. Reports that came through another gateway do not show that
// this one reaches the replica; then the events of an own stream there have to.
func (t *target) silent(newest, answered, now time.Time, period time.Duration) bool {
	if t.load.Relayed && t.streams() && now.Sub(t.heard) > t.patience && now.Sub(answered) < time.Duration(othersHeard*float64(period)) {
		return true
	}
	life := t.life()
	return !life.IsZero() && now.Sub(life) > t.patience && now.Sub(newest) < time.Duration(othersHeard*float64(period))
}

// streams tells whether an own request at the target has begun to be answered, and
// should get an event with each pass.
func (t *target) streams() bool {
	for l := range t.own {
		if l.begun && l.engine != nil {
			return true
		}
	}
	return false
}

// spared tells whether a silent target gets no request now.
func (t *target) spared(now time.Time) bool {
	return t.cutOff && now.Sub(t.life()) > t.patience && (len(t.own) > 0 || now.Sub(t.risked) < silentTrial)
}

// answered returns when any of the targets in a list last gave a part of an own answer.
func answered(list []*target) time.Time {
	var out time.Time
	for _, x := range list {
		if x.heard.After(out) {
			out = x.heard
		}
	}
	return out
}

// newest returns the last sign of life of all targets in a list.
func newest(list []*target) time.Time {
	var out time.Time
	for _, x := range list {
		if life := x.life(); life.After(out) {
			out = life
		}
	}
	return out
}
