package ranks

import (
	"context"
	"slices"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

const (
	// sumInterval is the minimum time between two reads of a large group's sums. After a
	// suspected load shift they are read again after shiftInterval.
	sumInterval = 100 * time.Millisecond
	// countsLinkFraction is the fraction of the coordinator's link that sums may use on
	// average; its own rank's reports, looks and maps need the rest. With all of it used, a
	// coordinator of 129 ranks was silent for seconds.
	countsLinkFraction = 0.3
	// minRankFraction is the fraction of ranks that a sum has to cover to be used.
	minRankFraction = 0.5
)

// countAggregator reads the counts of a large group as sums, in parallel with the
// coordinator's rounds. Each read requests the growth since the last one received.
type countAggregator struct {
	// clock is the coordinator's.
	clock    graniteknot.AgeClock
	window   countWindow
	subtrees [][]*Member
	fence    graniteknot.Position
	// countsReady receives a signal for new counts.
	countsReady chan<- struct{}
	// linkRate is the receive rate of the coordinator's box in bytes a second; 0 is
	// unknown.
	linkRate float64
	calls    group.Group

	mu sync.Mutex
	// round numbers the reads; baseRound is the last one received, 0 for none.
	round, baseRound uint64
	// totals holds the counts since the first read.
	totals []uint64
	// wantedAt is when the coordinator last requested sums. running reports that they are
	// being read, which repeats as long as they are requested.
	wantedAt time.Time
	running  bool
	// paused suspends reads to leave the links to a switch.
	paused bool
}

// newCountAggregator returns an aggregator of the members' counts.
func newCountAggregator(w countWindow, config *Config, countsReady chan<- struct{}) *countAggregator {
	a := &countAggregator{clock: config.Clock, window: w, fence: config.Fence, linkRate: config.LinkRate, subtrees: splitGroup(config.Members, config.OwnRank), countsReady: countsReady}
	if !allAddressed(config.Members) {
		a.subtrees = nil
		for _, m := range config.Members {
			a.subtrees = append(a.subtrees, []*Member{m})
		}
	}
	return a
}

// wantedTimeout is how long reading goes on after the coordinator's last request; it is
// longer than a round.
const wantedTimeout = time.Second

// pausePollInterval is how often a paused aggregator checks whether it may read again.
const pausePollInterval = 10 * time.Millisecond

// keepReading requests that sums be read repeatedly, or suspends that while paused. It is
// called every round.
func (a *countAggregator) keepReading(now time.Time, paused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wantedAt, a.paused = now, paused
	if a.running {
		return
	}
	a.running = true
	a.calls.Go(a.run)
}

// pause suspends reads until the next keepReading. A read that begins between the decision for
// a map and the next round would delay the map's distribution.
func (a *countAggregator) pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused = true
}

func (a *countAggregator) run(ctx context.Context) {
	for {
		r, ok := a.nextRequest(a.clock.Now())
		if !ok || ctx.Err() != nil {
			return
		}
		if r == nil {
			delay.For(ctx, pausePollInterval)
			continue
		}
		began := a.clock.Now()
		interval := a.readSums(ctx, r, began)
		delay.For(ctx, max(a.clock.Until(began.Add(interval)), a.shiftPause()))
	}
}

// nextRequest returns the request for the next read, nil while paused; false when sums are
// no longer requested.
func (a *countAggregator) nextRequest(now time.Time) (*wire.SumRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = now.Sub(a.wantedAt) < wantedTimeout
	if a.paused || !a.running {
		return nil, a.running
	}
	a.round++
	return &wire.SumRequest{Fence: int64(a.fence), Round: a.round, Since: a.baseRound, WaitMs: int32(sumTimeout.Milliseconds())}, true
}

// readSums reads the sums of all subtrees, without those that don't answer. It returns the
// interval from its start to the next read.
func (a *countAggregator) readSums(ctx context.Context, r *wire.SumRequest, began time.Time) time.Duration {
	var sum countSum
	var calls group.Group
	for _, members := range a.subtrees {
		responding := responsive(members, began)
		if len(responding) == 0 {
			continue
		}
		calls.Go(func(context.Context) {
			callCtx, cancel := context.WithTimeout(ctx, sumTimeout)
			defer cancel()
			reply, err := responding[0].client.Sum(callCtx, &wire.SumRequest{
				Sidecars: relayedSidecars(responding), Fence: r.GetFence(), Round: r.GetRound(), Since: r.GetSince(), WaitMs: r.GetWaitMs(),
			})
			if err == nil {
				sum.add(reply)
			}
		})
	}
	calls.Wait()
	return a.addSum(&sum, r.GetRound(), began)
}

// shiftPause returns how long to wait at least before the next read. The coordinator plans a map
// when a load shift is detected; its looks before that would wait for the sums of another read.
func (a *countAggregator) shiftPause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.window.shifted {
		return replyWait
	}
	return 0
}

// addSum adds the sum of one read to the window and returns the interval to the next read.
func (a *countAggregator) addSum(sum *countSum, round uint64, began time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	enough := minRankFraction * float64(a.members())
	if float64(sum.sampled) < enough {
		return a.interval(len(sum.counts))
	}
	switch {
	case a.baseRound == 0:
		a.totals = make([]uint64, a.window.Shape.Layers*a.window.Shape.Experts)
		a.window.add(began, [][]uint64{a.totals})
	case float64(sum.ranks) >= enough && len(sum.counts) == len(a.totals):
		a.addGrowth(sum.counts)
		a.window.add(began, [][]uint64{a.totals})
	}
	a.baseRound = round
	select {
	case a.countsReady <- struct{}{}:
	default:
	}
	return a.interval(len(sum.counts))
}

// addGrowth adds the growth since the last read.
func (a *countAggregator) addGrowth(counts []uint64) {
	a.totals = slices.Clone(a.totals)
	for i, n := range counts {
		a.totals[i] += n
	}
}

func (a *countAggregator) members() int {
	n := 0
	for _, members := range a.subtrees {
		n += len(members)
	}
	return n
}

// interval returns the time from the start of one read to the next, where each subtree's
// sum has the given size in bytes.
func (a *countAggregator) interval(size int) time.Duration {
	least := sumInterval
	if a.window.suspect {
		least = shiftInterval
	}
	if a.linkRate <= 0 {
		return least
	}
	transfer := float64(len(a.subtrees)*size) / (countsLinkFraction * a.linkRate)
	return max(least, time.Duration(transfer*float64(time.Second)))
}

// loads returns the load of each expert within the window.
func (a *countAggregator) loads() (planner.Loads, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.window.loads()
}

// steadyLoads is Coordinator.steadyLoads for the sums.
func (a *countAggregator) steadyLoads() (planner.Loads, time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.window.steadyLoads()
}

// loadShift is Coordinator.loadShift for the newest sums.
func (a *countAggregator) loadShift() (suspect bool, shifts int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.window.suspect, a.window.shifts
}

// updateForecast updates the forecaster with the newest sums.
func (a *countAggregator) updateForecast(f *forecaster, p *planner.Placement, paces []float64, mapping held.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.observe(&a.window, p, paces, mapping)
}

// reset drops all counts.
func (a *countAggregator) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.window.reset()
	a.totals, a.baseRound = nil, 0
}
