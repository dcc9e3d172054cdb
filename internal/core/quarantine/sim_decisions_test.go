package quarantine_test

import (
	"math"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

// A decision says which parts of prompts are kept from replicas, by what happened to requests.
type decision interface {
	crash(requests []*quarantine.Subject, replica catalog.Mark, now time.Time)
	survive(s *quarantine.Subject, now time.Time)
	blocks(s *quarantine.Subject, now time.Time) *quarantine.Key
	// try reports whether a blocked request is let through to find out more.
	try(s *quarantine.Subject, now time.Time) bool
}

// tableDecision is the table's.
type tableDecision struct {
	quarantine.Table
	maintained time.Time
}

func (d *tableDecision) crash(requests []*quarantine.Subject, replica catalog.Mark, now time.Time) {
	for _, s := range requests {
		d.RecordSubjectCrash(s, replica, false, now)
	}
}

func (d *tableDecision) survive(s *quarantine.Subject, now time.Time) { d.RecordSurvival(s.Parts, now) }

func (d *tableDecision) blocks(s *quarantine.Subject, now time.Time) *quarantine.Key {
	const interval = 500 * time.Millisecond
	if now.Sub(d.maintained) >= interval {
		d.maintained = now
		d.Maintain(now)
	}
	return d.BlockedKey(s, now)
}

func (d *tableDecision) try(s *quarantine.Subject, now time.Time) bool { return d.Trial(s, now) }

// ratioDecision compares, for each part by itself, how likely its crashes and survivals are if it
// crashes replicas and if it does not.
type ratioDecision struct {
	crashes, ended map[quarantine.Key]float64
	lost, all      float64
}

func (d *ratioDecision) crash(requests []*quarantine.Subject, _ catalog.Mark, _ time.Time) {
	seen := map[quarantine.Key]bool{}
	for _, s := range requests {
		d.lost++
		d.all++
		for _, p := range s.Parts {
			if !seen[p] {
				d.crashes[p]++
				d.ended[p]++
			}
			seen[p] = true
		}
	}
}

func (d *ratioDecision) survive(s *quarantine.Subject, _ time.Time) {
	d.all++
	for _, p := range s.Parts {
		d.ended[p]++
	}
}

func (d *ratioDecision) blocks(s *quarantine.Subject, _ time.Time) *quarantine.Key {
	// A request with a bad part may be queued when another one crashes the replica, and most
	// sound ones are not there when a replica crashes.
	const badCrashes, needed, fewest = 0.95, 9.2, 2
	rate := max(0.001, min(0.5, d.lost/max(1, d.all)))
	for i, p := range s.Parts {
		n, rest := d.crashes[p], d.ended[p]-d.crashes[p]
		if n >= fewest && n*math.Log(badCrashes/rate)+rest*math.Log((1-badCrashes)/(1-rate)) > needed {
			return &s.Parts[i]
		}
	}
	return nil
}

func (d *ratioDecision) try(*quarantine.Subject, time.Time) bool { return false }
