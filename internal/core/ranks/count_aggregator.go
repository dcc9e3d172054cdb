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
	// sumInterval is the least time between two readings of a large group's sums.
	// They are read again after changedRound where the last ones are suspect.
	sumInterval = 100 * time.Millisecond
	// countsLinkFraction is the part of the keeper's link that sums may take on the mean of
	// some readings; its own rank's reports, looks and maps need the rest. With all of
	// it taken a keeper of 129 ranks fell silent for seconds.
	countsLinkFraction = 0.3
	// minRankFraction is the part of the ranks that a sum has to be of to count.
	minRankFraction = 0.5
)

// countAggregator reads the counts of a large group in sums, beside the keeper's rounds. Each
// reading asks how much counts have grown since the last one that came.
type countAggregator struct {
	// clock is the keeper's.
	clock    graniteknot.AgeClock
	window   countWindow
	subtrees [][]*Member
	fence    graniteknot.Position
	// countsReady is told of new counts.
	countsReady chan<- struct{}
	// linkRate is what the keeper's box can receive, in bytes a second; 0 is unknown.
	linkRate float64
	calls    group.Group

	mu sync.Mutex
	// round numbers the readings; baseRound is the last that came, 0 for none.
	round, baseRound uint64
	// totals is what has been counted since the first reading.
	totals []uint64
	// wantedAt is when the keeper last asked for sums. busy tells that they are being
	// read, again and again as long as they are wantedAt.
	wantedAt time.Time
	running  bool
	// paused keeps the links free for a switch.
	paused bool
}

// newCountAggregator returns a tally of the members' counts.
func newCountAggregator(w countWindow, p *Config, news chan<- struct{}) *countAggregator {
	t := &countAggregator{clock: p.Clock, window: w, fence: p.Fence, linkRate: p.LinkRate, subtrees: splitGroup(p.Members, p.OwnRank), countsReady: news}
	if !allAddressed(p.Members) {
		t.subtrees = nil
		for _, m := range p.Members {
			t.subtrees = append(t.subtrees, []*Member{m})
		}
	}
	return t
}

// wantedTimeout is for how long sums are read on that the keeper does not ask for: longer
// than its rounds take.
const wantedTimeout = time.Second

// pausePollInterval is how often it is looked whether links are free again.
const pausePollInterval = 10 * time.Millisecond

// keepReading has the sums keepReading, again and again while this is called; but not while it is to
// be quiet.
func (t *countAggregator) keepReading(now time.Time, quiet bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wantedAt, t.paused = now, quiet
	if t.running {
		return
	}
	t.running = true
	t.calls.Go(t.run)
}

func (t *countAggregator) run(ctx context.Context) {
	for {
		r, ok := t.nextRequest(t.clock.Now())
		if !ok || ctx.Err() != nil {
			return
		}
		if r == nil {
			delay.For(ctx, pausePollInterval)
			continue
		}
		began := t.clock.Now()
		pause := t.readSums(ctx, r, began)
		delay.For(ctx, t.clock.Until(began.Add(pause)))
	}
}

// nextRequest is that of the next reading, nil while it is to be quiet; false when none is
// wanted.
func (t *countAggregator) nextRequest(now time.Time) (*wire.SumRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = now.Sub(t.wantedAt) < wantedTimeout
	if t.paused || !t.running {
		return nil, t.running
	}
	t.round++
	return &wire.SumRequest{Fence: int64(t.fence), Round: t.round, Since: t.baseRound, WaitMs: int32(sumTimeout.Milliseconds())}, true
}

// readSums reads the sums of all parts. A part that does not answer is left out.
// It returns when the next reading is due after the begin of this one.
func (t *countAggregator) readSums(ctx context.Context, r *wire.SumRequest, began time.Time) time.Duration {
	var all countSum
	var asked group.Group
	for _, part := range t.subtrees {
		reached := responsive(part, began)
		if len(reached) == 0 {
			continue
		}
		asked.Go(func(context.Context) {
			short, cancel := context.WithTimeout(ctx, sumTimeout)
			defer cancel()
			reply, err := reached[0].client.Sum(short, &wire.SumRequest{
				Sidecars: relayedSidecars(reached), Fence: r.GetFence(), Round: r.GetRound(), Since: r.GetSince(), WaitMs: r.GetWaitMs(),
			})
			if err == nil {
				all.add(reply)
			}
		})
	}
	asked.Wait()
	return t.addSum(&all, r.GetRound(), began)
}

// addSum takes in the sum of a reading.
func (t *countAggregator) addSum(sum *countSum, round uint64, began time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	enough := minRankFraction * float64(t.members())
	if float64(sum.sampled) < enough {
		return t.interval(len(sum.counts))
	}
	switch {
	case t.baseRound == 0:
		t.totals = make([]uint64, t.window.Shape.Layers*t.window.Shape.Experts)
		t.window.add(began, [][]uint64{t.totals})
	case float64(sum.ranks) >= enough && len(sum.counts) == len(t.totals):
		t.addGrowth(sum.counts)
		t.window.add(began, [][]uint64{t.totals})
	}
	t.baseRound = round
	select {
	case t.countsReady <- struct{}{}:
	default:
	}
	return t.interval(len(sum.counts))
}

// addGrowth adds what has been counted since the last reading.
func (t *countAggregator) addGrowth(counts []uint64) {
	t.totals = slices.Clone(t.totals)
	for i, n := range counts {
		t.totals[i] += n
	}
}

func (t *countAggregator) members() int {
	n := 0
	for _, part := range t.subtrees {
		n += len(part)
	}
	return n
}

// interval is the time from the begin of a reading to that of the next one, where each
// part's sum is of so many counts of a byte.
func (t *countAggregator) interval(size int) time.Duration {
	least := sumInterval
	if t.window.suspect {
		least = shiftInterval
	}
	if t.linkRate <= 0 {
		return least
	}
	transfer := float64(len(t.subtrees)*size) / (countsLinkFraction * t.linkRate)
	return max(least, time.Duration(transfer*float64(time.Second)))
}

// recentLoads returns the counts within the window, as window.recentLoads does.
func (t *countAggregator) recentLoads() (planner.Loads, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.window.loads()
}

// loadShift tells of the newest sums what Keeper.loadShift does of counts.
func (t *countAggregator) loadShift() (suspect bool, changes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.window.suspect, t.window.shifts
}

// updateForecast has the newest sums taken in.
func (t *countAggregator) updateForecast(f *forecaster, p *planner.Placement, paces []float64, mapping held.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.observe(&t.window, p, paces, mapping)
}

// reset drops what was read.
func (t *countAggregator) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.window.reset()
	t.totals, t.baseRound = nil, 0
}
