package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

const (
	// limitDuration is how long a replica states a limit.
	limitDuration = 14 * time.Second
	// limitSettleTime is how long after its first statement a limit has to hold, limitWindow the
	// window in which requests are counted, and limitTolerance the number of requests allowed in
	// addition to one and a half times the limit.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 5
	// limitResponseDelay is how long before an arrival its gateway has to have forwarded a response
	// that stated the limit.
	limitResponseDelay = 500 * time.Millisecond
	// limitsStream is the random stream for limits.
	limitsStream = feedbackStream + 1
)

// statedLimit is a period in which a replica states a limit.
type statedLimit struct {
	at *replica
	// perSecond is the limit; statedIn holds the requests whose responses stated it, and when.
	perSecond   float64
	statedIn    map[string]time.Time
	first, last time.Time
}

// limits lets one replica after another state a limit until ctx is done.
func (w *world) limits(ctx context.Context, choose func(int) int) {
	for ctx.Err() == nil {
		w.limit(ctx, w.replica(choose(1<<20)), 1+2*float64(choose(3)))
	}
}

// limit lets a replica state a limit for a while, in responses and sometimes in refusals.
func (w *world) limit(ctx context.Context, s *replica, perSecond float64) {
	x := &statedLimit{at: s, perSecond: perSecond, statedIn: map[string]time.Time{}}
	w.mu.Lock()
	w.statedLimits = append(w.statedLimits, x)
	w.mu.Unlock()
	header := platformtest.Limit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	s.Always(func(e *platformtest.Exchange) {
		id := platformtest.RequestID(e.Request)
		if string(e.Body) == crashBody {
			platformtest.Crash(e)
			return
		}
		if s.streams.takes(e) {
			s.streams.serve(s, e)
			return
		}
		w.recordStated(x, id)
		if len(id)%7 == 0 {
			platformtest.RefuseWith(header)(e)
			return
		}
		e.Run()
		time.Sleep(workTime)
		body := answerTo(id)
		e.Head(http.StatusOK, len(body), platformtest.Seal, header)
		e.Write(body)
	})
	wait(ctx, limitDuration)
	s.Always(s.work)
}

func (w *world) recordStated(x *statedLimit, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	x.statedIn[request] = now
	if x.first.IsZero() {
		x.first = now
	}
	x.last = now
}

// checkLimits finds replicas that received more requests than their limit allows. Only requests count
// of gateways that had forwarded a response that stated it, and that were not affected by a fault.
func checkLimits(w *world, calls []*call) []Finding {
	from := map[string]*call{}
	for _, c := range calls {
		from[c.id] = c
	}
	var out []Finding
	for _, x := range w.statedLimits {
		if most, at := x.maxRequests(from); float64(most) > 1.5*x.perSecond*limitWindow.Seconds()+limitTolerance {
			out = append(out, Finding{"limits hold over all gateways", "-", fmt.Sprintf("%s, %g a second: %d requests in %v, %v after it was first named",
				x.at.ID, x.perSecond, most, limitWindow, at.Sub(x.first))})
		}
	}
	return out
}

// maxRequests returns the most requests in a window, and the start of the window.
func (x *statedLimit) maxRequests(from map[string]*call) (most int, at time.Time) {
	return maxInWindow(x.counted(from), limitWindow)
}

// counted returns when the requests arrived that count toward the limit, in order.
func (x *statedLimit) counted(from map[string]*call) []time.Time {
	firstAnswer := map[*process]time.Time{}
	for id := range x.statedIn {
		c := from[id]
		if c != nil && c.status != 0 && (firstAnswer[c.gateway].IsZero() || c.ended.Before(firstAnswer[c.gateway])) {
			firstAnswer[c.gateway] = c.ended
		}
	}
	var times []time.Time
	for _, a := range x.at.Arrivals() {
		c := from[platformtest.RequestID(a.Request)]
		if c == nil || !c.stable || a.At.Before(x.first.Add(limitSettleTime)) || a.At.After(x.last) {
			continue
		}
		heard := firstAnswer[c.gateway]
		if !heard.IsZero() && a.At.After(heard.Add(limitResponseDelay)) && !c.gateway.restarted(x.first, a.At) {
			times = append(times, a.At)
		}
	}
	return times
}

// maxInWindow returns the largest number of times in a window, and the start of the window.
func maxInWindow(times []time.Time, window time.Duration) (most int, at time.Time) {
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, times[first]
		}
	}
	return most, at
}
