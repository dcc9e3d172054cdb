package quarantine_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

// simLoad is one kind of load on replicas.
type simLoad struct {
	// rate is how many requests arrive a second, replicas how many take them, group whether
	// they work in lock step.
	rate, replicas int
	group          bool
	// bad is the number of parts that crash replicas, badShare that of the requests with one.
	bad      int
	badShare float64
	// badFirst puts the bad part first, else it follows the first part. companion always comes
	// with it and is sound.
	badFirst, companion bool
	// lastOnly is the share of the sound requests that have no part to share.
	lastOnly float64
	// otherCrashes is how many replicas crash a second for other reasons; zoneAt crashes a third
	// of them at once.
	otherCrashes float64
	zoneAt       time.Duration
	// names is how many different middle parts there are.
	names int
	// Replicas serve requests with the bad parts until servedUntil.
	servedUntil time.Duration
	// cold lets bad requests and crashes begin at once, before replicas have served anything.
	cold bool
}

// simResult is what one play showed.
type simResult struct {
	// crashes is how many crashes each bad part caused until it was first blocked; late is how many requests with it began later than simContact after the fifth.
	crashes, late []int
	// sound is the number of sound requests, refused those that were refused for a part, and
	// wrong the sound parts that were blocked for a second or longer.
	sound, refused, wrong int
}

// simRequest is one request in progress.
type simRequest struct {
	subject *quarantine.Subject
	bad     int
	begun   time.Duration
	replica int
	trial   bool
}

type simulation struct {
	simLoad
	random   *rand.Rand
	decision decision
	now      time.Duration
	marks    catalog.Mark
	// upAt is when each replica, or with a group all of them, takes requests again.
	upAt     []time.Duration
	groupUp  time.Duration
	progress []*simRequest
	waiting  []*simRequest
	badKeys  []quarantine.Key
	// allCrashes counts the crashes under each bad part, fifthAt is when the fifth happened.
	allCrashes []int
	fifthAt    []time.Duration
	blocked    map[quarantine.Key]time.Duration
	result     simResult
	requests   int
}

const (
	simContact   = 3 * time.Second
	simWarm      = 10 * time.Second
	simStep      = 20 * time.Millisecond
	simWork      = 1200 * time.Millisecond
	simBegin     = 200 * time.Millisecond
	simReturn    = 3 * time.Second
	simStall     = 1500 * time.Millisecond
	simQueueWait = 1500 * time.Millisecond
	simSurvival  = 500 * time.Millisecond
)

func (s *simulation) at() time.Time { return start.Add(s.now) }

// play runs the load for a time and returns what happened.
func (l simLoad) play(d decision, length time.Duration, seed uint64) simResult {
	s := &simulation{
		simLoad: l, random: rand.New(rand.NewPCG(seed, 7)), decision: d, upAt: make([]time.Duration, l.replicas),
		blocked: map[quarantine.Key]time.Duration{}, result: simResult{crashes: make([]int, l.bad), late: make([]int, l.bad)},
		allCrashes: make([]int, l.bad), fifthAt: make([]time.Duration, l.bad),
	}
	for i := range l.bad {
		s.badKeys = append(s.badKeys, part(fmt.Sprint("bad", i)))
	}
	zone := l.zoneAt > 0
	for ; s.now < length; s.now += simStep {
		for range s.poisson(float64(l.rate) * simStep.Seconds()) {
			s.arrive()
		}
		if s.random.Float64() < l.otherCrashes*simStep.Seconds() && s.warm() {
			s.crash(s.random.IntN(l.replicas), nil)
		}
		if zone && s.now >= l.zoneAt {
			zone = false
			for i := range l.replicas / 3 {
				s.crash(i, nil)
			}
		}
		s.run()
	}
	return s.result
}

// warm reports whether replicas have served requests for some time, or need not have.
func (s *simulation) warm() bool { return s.cold || s.now >= simWarm }

func (s *simulation) poisson(mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for p *= s.random.Float64(); p > limit; p *= s.random.Float64() {
		n++
	}
	return n
}

// arrive draws a request.
func (s *simulation) arrive() {
	s.requests++
	r := &simRequest{bad: -1, begun: s.now}
	first, name := fmt.Sprint("first", s.random.IntN(3)), fmt.Sprint("name", int(float64(s.names)*math.Pow(s.random.Float64(), 2)))
	parts := []string{first, name}
	switch {
	case s.bad > 0 && s.warm() && s.random.Float64() < s.badShare:
		r.bad = s.random.IntN(s.bad)
		parts = []string{first, fmt.Sprint("bad", r.bad), name}
		if s.badFirst {
			parts = parts[1:]
		}
		if s.companion {
			parts = append(parts, "companion")
		}
	case s.random.Float64() < s.lastOnly:
		parts = nil
	}
	r.subject = subject(fmt.Sprint(s.requests), parts...)
	if r.bad < 0 {
		s.result.sound++
	}
	s.waiting = append(s.waiting, r)
}

// run lets waiting requests begin and others end.
func (s *simulation) run() {
	s.waiting = filter(s.waiting, func(r *simRequest) bool {
		if key := s.decision.blocks(r.subject, s.at()); key != nil && !r.trial {
			if r.trial = s.decision.try(r.subject, s.at()); !r.trial {
				s.refuse(r, *key)
				return false
			}
		}
		if s.now-r.begun > simQueueWait {
			return false
		}
		if s.now < s.groupUp {
			return true
		}
		i := s.random.IntN(s.replicas)
		if s.now < s.upAt[i] {
			return true
		}
		r.replica, r.begun = i, s.now
		if r.bad >= 0 && s.allCrashes[r.bad] >= 5 && s.now-s.fifthAt[r.bad] > simContact {
			s.result.late[r.bad]++
		}
		s.progress = append(s.progress, r)
		return false
	})
	for _, r := range s.progress {
		if r.bad >= 0 && s.now >= s.servedUntil && s.now >= s.upAt[r.replica] && s.now >= s.groupUp && s.now-r.begun >= simBegin {
			s.crash(r.replica, r)
			break
		}
	}
	s.progress = filter(s.progress, func(r *simRequest) bool {
		if s.now-r.begun < simWork {
			return true
		}
		s.decision.survive(r.subject, s.at())
		return false
	})
}

// refuse counts a refused request and the sound parts that are blocked for long.
func (s *simulation) refuse(r *simRequest, key quarantine.Key) {
	if r.bad < 0 {
		s.result.refused++
	}
	for _, bad := range s.badKeys {
		if key == bad {
			return
		}
	}
	if key == part("companion") {
		return
	}
	since, known := s.blocked[key]
	if !known {
		s.blocked[key] = s.now
	}
	if known && since >= 0 && s.now-since > time.Second {
		s.blocked[key] = -1
		s.result.wrong++
	}
}

// crash ends a replica with all that is in progress there, because of a request or none; the rest
// of its group stands.
func (s *simulation) crash(replica int, cause *simRequest) {
	if s.now < s.upAt[replica] || s.now < s.groupUp {
		return
	}
	s.marks++
	var lost []*quarantine.Subject
	var rest []*simRequest
	for _, r := range s.progress {
		if r.replica == replica {
			lost = append(lost, r.subject)
			continue
		}
		rest = append(rest, r)
	}
	if cause != nil {
		if s.allCrashes[cause.bad]++; s.allCrashes[cause.bad] == 5 {
			s.fifthAt[cause.bad] = s.now
		}
		if s.decision.blocks(cause.subject, s.at()) == nil {
			s.result.crashes[cause.bad]++
		}
	}
	s.progress, s.upAt[replica] = rest, s.now+simReturn
	s.decision.crash(lost, s.marks, s.at())
	if !s.group {
		return
	}
	s.groupUp = s.now + simReturn
	for _, r := range rest {
		// An event has come before the group stood, and the connection breaks after simStall.
		if s.now-r.begun > simBegin && simStall >= simSurvival {
			s.decision.survive(r.subject, s.at())
		}
	}
	s.progress = nil
}

func filter(list []*simRequest, keep func(*simRequest) bool) []*simRequest {
	out := list[:0]
	for _, r := range list {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}
