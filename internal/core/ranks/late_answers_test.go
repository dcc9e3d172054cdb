package ranks_test

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/planner"
)

// lateCase is a group whose calls are late while its load shifts.
type lateCase struct {
	name     string
	ranks    int
	passTime time.Duration
	// peers and local set how late calls between sidecars and calls to ranks are.
	peers, local lateShares
	// term is how long a coordinator runs before another one follows; 0 is for ever.
	term time.Duration
	// overlap makes the next coordinator start before the former one stops.
	overlap time.Duration
	// restarts is the time between restarts of a random sidecar; 0 is never.
	restarts time.Duration
	// breaks is the time between new formations of the group; 0 is never.
	breaks time.Duration
	// unfenced ranks obey former coordinators.
	unfenced bool
}

const lateRunTime = 12 * time.Second

func lateAnswers(answer time.Duration, share float64) lateShares {
	return lateShares{answerShare: share, maxAnswer: answer}
}

func lateBoth(call, answer time.Duration, share float64) lateShares {
	return lateShares{callShare: share, maxCall: call, answerShare: share, maxAnswer: answer}
}

var lateCases = []lateCase{
	{name: "answers, passes of 40 ms", ranks: 4, passTime: 40 * time.Millisecond, peers: lateAnswers(650*time.Millisecond, 0.15)},
	{name: "answers, passes of 8 ms", ranks: 4, passTime: 8 * time.Millisecond, peers: lateAnswers(650*time.Millisecond, 0.15)},
	{name: "calls and answers, passes of 8 ms", ranks: 4, passTime: 8 * time.Millisecond, peers: lateBoth(400*time.Millisecond, 400*time.Millisecond, 0.15)},
	{name: "calls 3 s, passes of 20 ms", ranks: 4, passTime: 20 * time.Millisecond, peers: lateShares{callShare: 0.1, maxCall: 3 * time.Second, answerShare: 0.2, maxAnswer: 650 * time.Millisecond}},
	{name: "at the rank, coordinators in turn", ranks: 4, passTime: 20 * time.Millisecond, local: lateBoth(1500*time.Millisecond, 500*time.Millisecond, 0.15), term: 2 * time.Second},
	{name: "everywhere, coordinators in turn", ranks: 4, passTime: 20 * time.Millisecond, peers: lateBoth(400*time.Millisecond, 650*time.Millisecond, 0.1), local: lateBoth(1500*time.Millisecond, 500*time.Millisecond, 0.1), term: 2 * time.Second},
	{name: "two coordinators", ranks: 4, passTime: 20 * time.Millisecond, peers: lateBoth(400*time.Millisecond, 650*time.Millisecond, 0.1), local: lateBoth(500*time.Millisecond, 500*time.Millisecond, 0.1), term: 1500 * time.Millisecond, overlap: time.Second},
	{name: "two coordinators, no fences", ranks: 4, passTime: 20 * time.Millisecond, peers: lateBoth(400*time.Millisecond, 650*time.Millisecond, 0.1), local: lateBoth(500*time.Millisecond, 500*time.Millisecond, 0.1), term: 1500 * time.Millisecond, overlap: time.Second, unfenced: true},
	{name: "sidecars restart", ranks: 4, passTime: 20 * time.Millisecond, peers: lateAnswers(650*time.Millisecond, 0.1), term: 2 * time.Second, restarts: 300 * time.Millisecond},
	{name: "group forms anew", ranks: 4, passTime: 20 * time.Millisecond, peers: lateBoth(400*time.Millisecond, 650*time.Millisecond, 0.1), term: 3 * time.Second, breaks: 900 * time.Millisecond},
	{name: "12 ranks", ranks: 12, passTime: 5 * time.Millisecond, peers: lateBoth(200*time.Millisecond, 650*time.Millisecond, 0.1), term: 5 * time.Second, restarts: time.Second},
	{name: "32 ranks through relays, slow ranks", ranks: 32, passTime: 8 * time.Millisecond, local: lateAnswers(900*time.Millisecond, 0.02), peers: lateAnswers(650*time.Millisecond, 0.05)},
	{name: "63 ranks through relays", ranks: 63, passTime: 40 * time.Millisecond, peers: lateBoth(200*time.Millisecond, 650*time.Millisecond, 0.05), term: 4 * time.Second, restarts: time.Second},
	{name: "129 ranks through two relays", ranks: 129, passTime: 100 * time.Millisecond, peers: lateBoth(200*time.Millisecond, 650*time.Millisecond, 0.03), term: 6 * time.Second, restarts: time.Second},
}

// TestLateAnswersNeverMixMaps runs groups whose calls are carried out and answered late.
func TestLateAnswersNeverMixMaps(t *testing.T) {
	first, seeds := lateSeeds(t)
	for _, c := range lateCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runs, broken, switches := seeds, 0, 0
			if c.ranks > 12 && runs > 1 {
				runs = max(1, runs/10)
			}
			for seed := first; seed < first+runs; seed++ {
				var apart string
				synctest.Test(t, func(*testing.T) {
					var n int
					n, apart = c.run(seed)
					switches += n
				})
				if apart != "" {
					broken++
					t.Errorf("seed %d: %s", seed, apart)
				}
			}
			t.Logf("%d of %d runs had passes with different maps; %d maps came into force", broken, runs, switches)
			if switches < int(runs) {
				t.Errorf("%d maps came into force in %d runs", switches, runs)
			}
		})
	}
}

// lateSeeds returns the first seed and how many there are: a few, or what the environment says.
func lateSeeds(t *testing.T) (first, seeds uint64) {
	t.Helper()
	first, seeds = 1, 40
	if testing.Short() {
		seeds = 1
	}
	for name, value := range map[string]*uint64{"GRANITEKNOT_LATE_SEED": &first, "GRANITEKNOT_LATE_SEEDS": &seeds} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			*value = n
		}
	}
	return first, seeds
}

// run plays one seed and returns how many maps came into force, and where two differed.
func (c *lateCase) run(seed uint64) (switches int, apart string) {
	random := rand.New(rand.NewPCG(seed, 3))
	shape := planner.Shape{Layers: 2, Experts: 3 * c.ranks, Ranks: c.ranks, Slots: 5}
	f := newFixtureWithoutPasses(shape, seed)
	defer f.stop()
	f.group.Load = 20 * time.Millisecond
	f.group.Unfenced = c.unfenced
	f.useLateCalls(newLateness(c.peers, seed), newLateness(c.local, seed+1))
	f.run.Go(func(ctx context.Context) { f.group.Run(ctx, c.passTime) })
	f.run.Go(func(ctx context.Context) {
		every(ctx, 300*time.Millisecond, func() { f.group.Like(zipfLoads(shape, random.Uint64())) })
	})
	disturb := rand.New(rand.NewPCG(seed, 5))
	f.run.Go(func(ctx context.Context) { every(ctx, c.restarts, func() { f.restartSidecar(disturb.IntN(c.ranks)) }) })
	f.run.Go(func(ctx context.Context) { every(ctx, c.breaks, f.group.Break) })
	f.run.Go(func(ctx context.Context) {
		mapping := f.group.Show().Mappings[0]
		every(ctx, c.passTime, func() {
			if now := f.group.Show().Mappings[0]; now != mapping {
				switches, mapping = switches+1, now
			}
		})
	})
	c.runCoordinators(f, rand.New(rand.NewPCG(seed, 7)))
	f.run.Stop()
	return switches, f.group.Show().FirstApart
}

// runCoordinators runs coordinators in turn.
func (c *lateCase) runCoordinators(f *fixture, random *rand.Rand) {
	term := c.term
	if term == 0 {
		term = lateRunTime
	}
	former := graniteknot.Rank(random.IntN(c.ranks))
	for fence, began := graniteknot.Position(1), time.Now(); time.Since(began) < lateRunTime; fence++ {
		own := graniteknot.Rank(random.IntN(c.ranks))
		if c.unfenced {
			former = own
		}
		coordinator := f.coordinatorAfter(fence, own, former)
		former = own
		f.run.Go(func(context.Context) { f.runFor(coordinator, term+c.overlap) })
		time.Sleep(term)
	}
}

// every calls f at an interval until ctx is done; never if the interval is 0.
func every(ctx context.Context, interval time.Duration, f func()) {
	if interval == 0 {
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
