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
	// tallyRound is the least time between two readings of a large group's sums.
	// They are read again after changedRound where the last ones are suspect.
	tallyRound = 100 * time.Millisecond
	// countsShare is the part of the keeper's link that sums may take on the mean of
	// some readings; its own rank's reports, looks and maps need the rest. With all of
	// it taken a keeper of 129 ranks fell silent for seconds.
	countsShare = 0.3
	// enoughRanks is the part of the ranks that a sum has to be of to count.
	enoughRanks = 0.5
)

// tally reads the counts of a large group in sums, beside the keeper's rounds. Each
// reading asks how much counts have grown since the last one that came.
type tally struct {
	// clock is the keeper's.
	clock  graniteknot.AgeClock
	window window
	parts  [][]*Member
	fence  graniteknot.Position
	// news is told of new counts.
	news chan<- struct{}
	// link is what the keeper's box can receive, in bytes a second; 0 is unknown.
	link  float64
	calls group.Group

	mu sync.Mutex
	// round numbers the readings; base is the last that came, 0 for none.
	round, base uint64
	// grown is what has been counted since the first reading.
	grown []uint64
	// wanted is when the keeper last asked for sums. busy tells that they are being
	// read, again and again as long as they are wanted.
	wanted time.Time
	busy   bool
	// quiet keeps the links free for a switch.
	quiet bool
}

// newTally returns a tally of the members' counts.
func newTally(w window, p *Config, news chan<- struct{}) *tally {
	t := &tally{clock: p.Clock, window: w, fence: p.Fence, link: p.LinkRate, parts: divided(p.Members, p.OwnRank), news: news}
	if !addressed(p.Members) {
		t.parts = nil
		for _, m := range p.Members {
			t.parts = append(t.parts, []*Member{m})
		}
	}
	return t
}

// wantedFor is for how long sums are read on that the keeper does not ask for: longer
// than its rounds take.
const wantedFor = time.Second

// quietStep is how often it is looked whether links are free again.
const quietStep = 10 * time.Millisecond

// read has the sums read, again and again while this is called; but not while it is to
// be quiet.
func (t *tally) read(now time.Time, quiet bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wanted, t.quiet = now, quiet
	if t.busy {
		return
	}
	t.busy = true
	t.calls.Go(t.run)
}

func (t *tally) run(ctx context.Context) {
	for {
		r, ok := t.question(t.clock.Now())
		if !ok || ctx.Err() != nil {
			return
		}
		if r == nil {
			delay.For(ctx, quietStep)
			continue
		}
		began := t.clock.Now()
		pause := t.gather(ctx, r, began)
		delay.For(ctx, t.clock.Until(began.Add(pause)))
	}
}

// question is that of the next reading, nil while it is to be quiet; false when none is
// wanted.
func (t *tally) question(now time.Time) (*wire.SumRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = now.Sub(t.wanted) < wantedFor
	if t.quiet || !t.busy {
		return nil, t.busy
	}
	t.round++
	return &wire.SumRequest{Fence: int64(t.fence), Round: t.round, Since: t.base, WaitMs: int32(tallyTime.Milliseconds())}, true
}

// gather reads the sums of all parts. A part that does not answer is left out.
// It returns when the next reading is due after the begin of this one.
func (t *tally) gather(ctx context.Context, r *wire.SumRequest, began time.Time) time.Duration {
	var all summer
	var asked group.Group
	for _, part := range t.parts {
		reached := heardOf(part, began)
		if len(reached) == 0 {
			continue
		}
		asked.Go(func(context.Context) {
			short, cancel := context.WithTimeout(ctx, tallyTime)
			defer cancel()
			reply, err := reached[0].doer.Sum(short, &wire.SumRequest{
				Sidecars: sidecars(reached), Fence: r.GetFence(), Round: r.GetRound(), Since: r.GetSince(), WaitMs: r.GetWaitMs(),
			})
			if err == nil {
				all.add(reply)
			}
		})
	}
	asked.Wait()
	return t.take(&all, r.GetRound(), began)
}

// take takes in the sum of a reading.
func (t *tally) take(sum *summer, round uint64, began time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	enough := enoughRanks * float64(t.members())
	if float64(sum.sampled) < enough {
		return t.pause(len(sum.counts))
	}
	switch {
	case t.base == 0:
		t.grown = make([]uint64, t.window.Shape.Layers*t.window.Shape.Experts)
		t.window.add(began, [][]uint64{t.grown})
	case float64(sum.ranks) >= enough && len(sum.counts) == len(t.grown):
		t.grow(sum.counts)
		t.window.add(began, [][]uint64{t.grown})
	}
	t.base = round
	select {
	case t.news <- struct{}{}:
	default:
	}
	return t.pause(len(sum.counts))
}

// grow adds what has been counted since the last reading.
func (t *tally) grow(counts []uint64) {
	t.grown = slices.Clone(t.grown)
	for i, n := range counts {
		t.grown[i] += n
	}
}

func (t *tally) members() int {
	n := 0
	for _, part := range t.parts {
		n += len(part)
	}
	return n
}

// pause is the time from the begin of a reading to that of the next one, where each
// part's sum is of so many counts of a byte.
func (t *tally) pause(size int) time.Duration {
	least := tallyRound
	if t.window.suspect {
		least = changedRound
	}
	if t.link <= 0 {
		return least
	}
	transfer := float64(len(t.parts)*size) / (countsShare * t.link)
	return max(least, time.Duration(transfer*float64(time.Second)))
}

// loads returns the counts within the window, as window.loads does.
func (t *tally) loads() (planner.Loads, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.window.loads()
}

// changed tells of the newest sums what Keeper.changed does of counts.
func (t *tally) changed() (suspect bool, changes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.window.suspect, t.window.changes
}

// forecast has the newest sums taken in.
func (t *tally) forecast(f *forecaster, p *planner.Placement, paces []float64, mapping held.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.see(&t.window, p, paces, mapping)
}

// forget drops what was read.
func (t *tally) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.window.forget()
	t.grown, t.base = nil, 0
}
