package ranks

import (
	"context"
	"sync"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

// tally reads the counts of a large group in sums, beside the keeper's rounds.
type tally struct {
	window window
	parts  []*tallyPart
	calls  group.Group

	mu sync.Mutex
	// sums are the last ones of each part; a part without one is empty.
	sums [][]uint64
	// busy tells that sums are being read; begun is when that began.
	busy  bool
	begun time.Time
}

// tallyPart is a few ranks whose counts one of their sidecars adds up.
type tallyPart struct {
	first    wire.Ranks
	sidecars []string
}

// newTally divides the members into parts.
func newTally(w window, members []*Member) *tally {
	t := &tally{window: w}
	for at := 0; at < len(members); at += sumOf {
		part := &tallyPart{first: members[at].doer}
		for _, m := range members[at+1 : min(at+sumOf, len(members))] {
			if m.address != "" {
				part.sidecars = append(part.sidecars, string(m.address))
			}
		}
		t.parts = append(t.parts, part)
	}
	t.sums = make([][]uint64, len(t.parts))
	return t
}

// read begins to read the sums, unless that is under way or was done of late.
func (t *tally) read(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	period := tallyRound
	if t.window.suspect {
		period = changedRound
	}
	if t.busy || now.Sub(t.begun) < period {
		return
	}
	t.busy, t.begun = true, now
	t.calls.Go(func(ctx context.Context) { t.gather(ctx, now) })
}

func (t *tally) gather(ctx context.Context, began time.Time) {
	sums := make([][]uint64, len(t.parts))
	var all group.Group
	for i, part := range t.parts {
		all.Go(func(context.Context) {
			short, cancel := context.WithTimeout(ctx, tallyTime)
			defer cancel()
			reply, err := part.first.Sum(short, &wire.SumRequest{Sidecars: part.sidecars})
			// A sum of fewer ranks can't be compared with one of all.
			if err == nil && int(reply.GetRanks()) == len(part.sidecars)+1 {
				sums[i] = reply.GetCounts()
			}
		})
	}
	all.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
	t.window.add(began, sums)
}

// loads returns the counts within the window, as window.loads does.
func (t *tally) loads() (planner.Loads, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.window.loads()
}

// changed tells of the newest sums what Keeper.changed does of counts.
func (t *tally) changed() (suspect, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.window.suspect, t.window.changed
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
}
