package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"graniteknot.org/go/platform/platformtest"
)

const (
	// streamPath starts the paths of streams.
	streamPath = "/stream"
	// streamEvents is the number of events of a whole stream, streamPause the time before each.
	streamEvents = 12
	streamPause  = 15 * time.Millisecond
)

// streamPlans plans the responses of all replicas to requests for streams. A stream's body is its name.
type streamPlans struct {
	seed uint64
	// draw returns the plan of an attempt.
	draw func(a streamAttempt) platformtest.StreamPlan

	mu   sync.Mutex
	runs map[string][]streamRun
}

// streamAttempt is what the plan of an attempt depends on.
type streamAttempt struct {
	random *rand.Rand
	// number is 0 for the first attempt.
	number int
	// resumed reports whether it goes on from an event, faulty whether the stream is one of those with a fault.
	resumed, faulty bool
}

// streamRun is one run of a stream at a replica.
type streamRun struct {
	plan platformtest.StreamPlan
	at   *replica
}

// takes reports whether a request is for a stream.
func (p *streamPlans) takes(x *platformtest.Exchange) bool {
	return p != nil && strings.HasPrefix(x.Request.URL.Path, streamPath)
}

// serve responds to a request for a stream as planned. Replicas stop at the deadline that they are given.
func (p *streamPlans) serve(s *replica, x *platformtest.Exchange) {
	plan := p.next(s, string(x.Body), platformtest.Resumes(x.Request))
	if plan.Fault == platformtest.StreamSound {
		plan.Fault = platformtest.StreamEndsAtDeadline
	}
	plan.Script(x)
}

// next returns the plan of a stream's next attempt, which depends only on the seed, the body and the attempt.
func (p *streamPlans) next(s *replica, body string, resumed bool) platformtest.StreamPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	attempt := len(p.runs[body])
	name := xxhash.Sum64String(body)
	random := rand.New(rand.NewPCG(p.seed+uint64(attempt), name))
	plan := p.draw(streamAttempt{random: random, number: attempt, resumed: resumed, faulty: name%faultyStreams == 0})
	plan.Events, plan.Pause = streamEvents, streamPause
	if plan.After == 0 {
		plan.After = 1 + random.IntN(streamEvents-2)
	}
	p.runs[body] = append(p.runs[body], streamRun{plan: plan, at: s})
	return plan
}

// runsOf returns the runs of a stream, in order.
func (p *streamPlans) runsOf(body string) []streamRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[body]
}

// sound reports whether nothing in a run keeps its stream from ending whole. The second response behind a whole
// stream belongs to nobody.
func (r streamRun) sound() bool {
	select {
	case <-r.at.Ended():
		return false
	default:
	}
	return r.plan.Fault == platformtest.StreamSound || r.plan.Fault == platformtest.StreamSurplus
}

// wholeStream returns all events of a stream.
func wholeStream(body string) string {
	var b strings.Builder
	for id := 1; id <= streamEvents; id++ {
		b.WriteString(platformtest.StreamEvent(body, id))
	}
	return b.String()
}
