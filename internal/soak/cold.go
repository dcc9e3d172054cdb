package soak

import (
	"context"
	"fmt"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

const (
	// coldRate is the service's warmup_per_s; coldOverrun and coldTolerance are the platform's
	// warmup_overrun and warmup_tolerance, which count in windows of coldWindow.
	coldRate      = 10
	coldOverrun   = 1.5
	coldTolerance = 5
	coldWindow    = time.Second
	// shortestCold and longestCold bound how long a replica is cold. The shortest time exceeds the
	// time that gateways may take to inform each other.
	shortestCold = limitSettleTime + 2*time.Second
	longestCold  = 9 * time.Second
	// coldMargin is how much too early a gateway may treat a replica as warm, since responses take
	// time to arrive.
	coldMargin = 500 * time.Millisecond
	// coldStream is the random stream for cold replicas.
	coldStream = evacuationsStream + 1
)

// coldTime is a period in which a replica is cold.
type coldTime struct {
	statedLimit

	world *world
	until time.Time
	// fresh reports whether the record stated it before any gateway knew the replica, so that no
	// gateway may treat it as warm.
	fresh bool
	// stated reports whether responses state it.
	stated bool
}

// left returns how long the replica is still cold.
func (x *coldTime) left() time.Duration {
	if x == nil {
		return 0
	}
	return max(0, time.Until(x.until))
}

// headers returns the warm-up headers of a response to a request.
func (x *coldTime) headers(request string) []string {
	left := x.left().Truncate(time.Millisecond)
	if left == 0 || !x.stated {
		return nil
	}
	x.world.recordStated(&x.statedLimit, request)
	return []string{platformtest.Warmup(left)}
}

// makeCold starts a cold period of a replica. The caller holds the lock.
func (w *world) makeCold(s *replica, x *coldTime, choose func(int) int) {
	x.until = time.Now().Add(shortestCold + time.Duration(choose(int(longestCold-shortestCold))))
	x.statedLimit, x.world = statedLimit{at: s, perSecond: coldRate, statedIn: map[string]time.Time{}}, w
	w.coldTimes = append(w.coldTimes, x)
	s.cold.Store(x)
}

// startCold makes a starting replica cold. A third of the new replicas state it only in their record.
// Restarted ones always state it in responses too, since gateways may not have read the new record.
func (w *world) startCold(s *replica) {
	if w.coldStarts == nil {
		return
	}
	first := s.born == 1
	w.makeCold(s, &coldTime{fresh: first, stated: !first || w.coldStarts.IntN(3) > 0}, w.coldStarts.IntN)
}

// coldAgain makes running replicas cold, one after another, until ctx is done. Half of them update
// their record at once.
func (w *world) coldAgain(ctx context.Context, choose func(int) int) {
	for ctx.Err() == nil {
		wait(ctx, longestCold/2)
		s := w.replica(choose(1 << 20))
		if s.cold.Load().left() > 0 {
			continue
		}
		w.mu.Lock()
		w.makeCold(s, &coldTime{stated: true}, choose)
		if choose(2) == 0 {
			w.put(s.ID, s.record(!s.leaving.IsZero()))
		}
		w.mu.Unlock()
	}
}

// checkCold finds cold replicas that received more requests than the warm-up rate allows. Responses
// with status 421 would not count, but no replica here sends any.
func checkCold(w *world, calls []*call) []Finding {
	from := map[string]*call{}
	for _, c := range calls {
		from[c.id] = c
	}
	var out []Finding
	for _, x := range w.coldTimes {
		if most, at := maxInWindow(x.arrivals(from), coldWindow); float64(most) > coldOverrun*coldRate+coldTolerance {
			out = append(out, Finding{"cold replicas get no more than they take", "-", fmt.Sprintf("%s: %d requests in %v, %v before it was warm",
				x.at.ID, most, coldWindow, x.until.Sub(at))})
		}
	}
	return out
}

// arrivals returns when the requests arrived that count toward the bound.
func (x *coldTime) arrivals(from map[string]*call) []time.Time {
	end := x.until.Add(-coldMargin)
	var out []time.Time
	if !x.fresh {
		for _, at := range x.counted(from) {
			if at.Before(end) {
				out = append(out, at)
			}
		}
		return out
	}
	for _, a := range x.at.Arrivals() {
		if a.At.Before(end) {
			out = append(out, a.At)
		}
	}
	return out
}
