package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// simulation runs a number of boxes in front of one replica with a limit, in virtual time.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	queue    events
	sequence int

	boxes []*simulatedBox
	limit quota.Rate
	// loss and duplication are the shares of messages that are lost and that arrive twice.
	loss, duplication float64
	// policy decides whether a box may send a request.
	policy policy

	arrivals []time.Time
	// messages counts the messages sent about permits, bytesReceived the bytes of them that
	// each box received.
	messages      int
	bytesReceived []int
	// grantLatencies are the times from a request for permits to the grant of another box.
	grantLatencies []time.Duration
}

// simulatedBox is one box of a simulation.
type simulatedBox struct {
	index      int
	name       graniteknot.BoxName
	allocation quota.Allocation
	allocator  quota.Allocator
	// owner is the index of the box that this one takes for the limit's owner.
	owner int
	down  bool
	// frozenUntil is until when messages to the box are delayed.
	frozenUntil time.Time
	requestedAt time.Time
	// tokens and refilledAt belong to the equalShares policy.
	tokens     float64
	refilledAt time.Time
}

// policy decides whether one box may send a request now.
type policy func(s *simulation, b *simulatedBox) bool

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

var start = time.Unix(1e6, 0)

func newSimulation(seed uint64, boxes int, limit quota.Rate, decide policy) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), now: start, limit: limit, policy: decide, bytesReceived: make([]int, boxes)}
	for i := range boxes {
		b := &simulatedBox{index: i, name: graniteknot.BoxName(fmt.Sprint("box-", i))}
		b.allocation.SetLimit(limit)
		s.boxes = append(s.boxes, b)
	}
	return s
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now.Add(d), s.sequence, run})
}

func (s *simulation) scheduleAt(d time.Duration, run func()) {
	s.schedule(start.Add(d).Sub(s.now), run)
}

// run processes the events before a time.
func (s *simulation) run(until time.Duration) {
	end := start.Add(until)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// generate makes requests arrive as a Poisson process, each at the chosen box.
func (s *simulation) generate(perSecond float64, choose func() int) {
	s.schedule(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.request(s.boxes[choose()])
		s.generate(perSecond, choose)
	})
}

func (s *simulation) request(b *simulatedBox) {
	if b.down || s.now.Before(b.frozenUntil) {
		return
	}
	if s.policy(s, b) {
		s.arrivals = append(s.arrivals, s.now)
	}
}

// send delivers a message after a random delay, unless it is lost; some arrive twice.
func (s *simulation) send(to *simulatedBox, size int, handle func()) {
	s.messages++
	copies := 1
	switch {
	case s.rng.Float64() < s.loss:
		copies = 0
	case s.rng.Float64() < s.duplication:
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(s.rng.Float64()*4*float64(time.Millisecond))
		s.schedule(delay, func() { s.deliver(to, size, handle) })
	}
}

func (s *simulation) deliver(to *simulatedBox, size int, handle func()) {
	if to.down {
		return
	}
	if wait := to.frozenUntil.Sub(s.now); wait > 0 {
		s.schedule(wait, func() { s.deliver(to, size, handle) })
		return
	}
	s.bytesReceived[to.index] += size
	handle()
}

// requestBytes and grantBytes are slightly more than the sizes of datagrams with one request and
// with one grant.
const requestBytes, grantBytes = 110, 120

// ownerPermits is the policy of this package: the owner of the limit grants permits.
func ownerPermits(s *simulation, b *simulatedBox) bool {
	b.allocation.RecordDemand(s.now)
	allowed := b.allocation.Take(s.now)
	want := b.allocation.PermitsNeeded(s.now)
	if want <= 0 {
		return allowed
	}
	number, _ := b.allocation.StartRequest(s.now)
	b.requestedAt = s.now
	owner := s.boxes[b.owner]
	if owner == b {
		g := b.allocator.Grant(s.now, life, s.limit, b.name, want)
		g.Number = number
		b.allocation.ApplyGrant(&g, s.now)
		return allowed
	}
	s.send(owner, requestBytes, func() {
		g := owner.allocator.Grant(s.now, life, s.limit, b.name, want)
		g.Number = number
		s.send(b, grantBytes, func() {
			if b.allocation.ApplyGrant(&g, s.now) {
				s.grantLatencies = append(s.grantLatencies, s.now.Sub(b.requestedAt))
			}
		})
	})
	return allowed
}

var life = catalog.Life{ID: "i-1", Born: 3}

// window is the span over which a limit is checked, and maxExcess the number of requests allowed
// on top of one and a half times the limit.
const (
	window    = 4 * time.Second
	maxExcess = 5
)

// maxInWindow returns the most arrivals in any window from a time on, and how many are allowed.
func (s *simulation) maxInWindow(from time.Duration) (most int, bound float64) {
	first := 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= window {
			first++
		}
		if at.Sub(start) >= from+window {
			most = max(most, i-first+1)
		}
	}
	return most, 1.5*float64(s.limit)*window.Seconds() + maxExcess
}

// utilization returns the share of the limit that was used in a span.
func (s *simulation) utilization(from, to time.Duration) float64 {
	n := 0
	for _, at := range s.arrivals {
		if d := at.Sub(start); d >= from && d < to {
			n++
		}
	}
	return float64(n) / (float64(s.limit) * (to - from).Seconds())
}
