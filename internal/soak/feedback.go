package soak

import (
	"context"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

const (
	// backoffTime is the backoff that replicas ask for. backoffDelay is how late a request that was
	// in flight at that time may arrive on a busy machine.
	backoffTime  = 4 * time.Second
	backoffDelay = 2 * time.Second
	// maxDuringBackoff is how many requests of a gateway may reach a replica during its backoff.
	maxDuringBackoff = 2
	// backoffSpan is how long a replica refuses all requests, feedbackInterval the time between two
	// such replicas.
	backoffSpan      = time.Second
	feedbackInterval = 1500 * time.Millisecond
	// feedbackStream is the random stream for feedback.
	feedbackStream = crashStream + 2
)

// feedback is what a replica stated in a response.
type feedback struct {
	at      *replica
	request string
	said    time.Time
	// backoff is 0 if the replica announced that it leaves.
	backoff time.Duration
}

// sendFeedback lets replicas ask for backoff, or announce that they leave, until ctx is done.
func (w *world) sendFeedback(ctx context.Context, choose func(int) int) {
	for ctx.Err() == nil {
		wait(ctx, feedbackInterval)
		if choose(4) == 0 {
			w.announceLeaving(ctx)
			continue
		}
		s := w.replica(choose(1 << 20))
		s.Always(func(x *platformtest.Exchange) {
			w.recordFeedback(feedback{at: s, request: platformtest.RequestID(x.Request), backoff: backoffTime})
			platformtest.Shed(strconv.FormatFloat(backoffTime.Seconds(), 'f', -1, 64))(x)
		})
		wait(ctx, backoffSpan)
		s.Always(s.work)
	}
}

// announceLeaving lets the oldest replica announce in responses that it leaves, while its record states
// that it is ready, and removes it some time later.
func (w *world) announceLeaving(ctx context.Context) {
	if w.addReplica() != nil {
		// Another process has taken the port: all replicas stay.
		return
	}
	w.mu.Lock()
	s := w.replicas[0]
	w.replicas = w.replicas[1:]
	w.mu.Unlock()
	s.Always(func(x *platformtest.Exchange) {
		if s.streams.takes(x) {
			s.streams.serve(s, x)
			return
		}
		w.recordFeedback(feedback{at: s, request: platformtest.RequestID(x.Request)})
		x.Run()
		body := answerTo(platformtest.RequestID(x.Request))
		x.Head(200, len(body), platformtest.Seal, platformtest.Leaving)
		x.Write(body)
	})
	wait(ctx, backoffTime)
	w.put(s.ID, nil)
}

func (w *world) recordFeedback(x feedback) {
	x.said = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.feedback = append(w.feedback, x)
}

// checkFeedback finds requests that a gateway sent to a replica after a response had told it not to.
// Gateways restarted since then are not counted.
func checkFeedback(w *world, calls []*call) []Finding {
	from := map[string]*call{}
	for _, c := range calls {
		from[c.id] = c
	}
	var out []Finding
	for _, x := range w.feedback {
		asked := from[x.request]
		if asked == nil || asked.status == 0 {
			// The gateway may not have read the answer.
			continue
		}
		after := 0
		for _, a := range x.at.Arrivals() {
			c := from[platformtest.RequestID(a.Request)]
			if c != nil && c.gateway == asked.gateway && x.forbids(c, a.At) && !c.gateway.restarted(x.said.Add(-backoffDelay), a.At) {
				after++
			}
		}
		if after > maxDuringBackoff {
			out = append(out, Finding{"replicas' words bind", x.request, fmt.Sprintf("%s, rest %v: %d requests from %s", x.at.ID, x.backoff, after, asked.gateway.box)})
		}
	}
	return out
}

// forbids reports whether a call must not have reached the replica at a time.
func (x *feedback) forbids(c *call, at time.Time) bool {
	if x.backoff == 0 {
		return c.sent.After(x.said.Add(drainTime))
	}
	return at.After(x.said.Add(backoffDelay)) && at.Before(x.said.Add(x.backoff))
}

// restarted reports whether the process may have been restarted in a time span.
func (p *process) restarted(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.ended {
		if at.Add(stopBound+restartPause).After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// noteEnd records when the process was signalled to end. The caller holds the lock.
func (p *process) noteEnd(s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.ended = append(p.ended, time.Now())
	}
	if s == syscall.SIGKILL {
		p.killed = append(p.killed, time.Now())
	}
}
