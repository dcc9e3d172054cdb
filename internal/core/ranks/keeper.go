package ranks

import (
	"context"
	"log/slog"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

const (
	// leastLead and mostLead bound how many passes ahead a step is held. All arms
	// are to be seen before it begins, so that the group does not stand.
	leastLead = 2
	mostLead  = 16
	// fastRound is the time between rounds while a step is held.
	fastRound = 5 * time.Millisecond
	// slowRound is the time between rounds while ranks load a map, or have yet
	// to reach an armed step.
	slowRound = 40 * time.Millisecond
	// idleRound is the time between rounds of a group that is not whole.
	idleRound = 250 * time.Millisecond
	// planRound is the time between two looks of an idle group, each of which
	// reads the counts and plans.
	planRound = 60 * time.Millisecond
	// countRound is the least time between two readings of the counts. After a
	// change of what is chosen they are read again after changedRound, which is
	// about a pass: the plan then holds nothing of before.
	countRound   = 60 * time.Millisecond
	changedRound = 40 * time.Millisecond
	// windowLength is how far a plan looks back while nothing changes, rollingLength
	// where changes are not looked for.
	windowLength  = 1500 * time.Millisecond
	rollingLength = 200 * time.Millisecond
	// patientLoad is how long one expert takes to load at least for a plan to wait
	// for counts that hold nothing of before a change: about twice that wait. Where
	// loading is faster, a map for a mixture is soon followed by another.
	// Where a keeper reaches its ranks over three steps, a switch takes half a second,
	// which is five intervals: then plans wait however fast experts load.
	patientLoad = 150 * time.Millisecond
	// loadTime is how long a rank may load for one switch, if that is enough for
	// one expert. Loading takes most of a switch, and interests move on meanwhile.
	loadTime = 100 * time.Millisecond
	// longestLoad bounds that time where passes are long. Interests move on
	// meanwhile, but a rank that is many times slower than the others has to be
	// emptied in few switches.
	longestLoad = 400 * time.Millisecond
	// rankTime is added to each pause for each call of a look: what it takes of
	// the keeper's processor and link.
	rankTime = 600 * time.Microsecond
	// roundWait is how long a round waits for the ranks' answers; what comes
	// later serves the next round.
	roundWait = 40 * time.Millisecond
	// lookAge is how old a look at a rank may be to decide on. Old looks are
	// harmless, since what they show only changes by this keeper's orders, but
	// nothing new is begun on them.
	lookAge = 2 * time.Second
	// prepareAgain is when a map is offered again to a rank that does not show
	// it, beside the time that loading takes.
	prepareAgain = time.Second
	// maxSequence bounds the maps of one keeper; see version.
	maxSequence = 1 << 20
	// roundBits hold the rounds of one keeper in the numbers of forecasts; these grow
	// from keeper to keeper, as fences do.
	roundBits = 32
)

// Config are what a Keeper is made of.
type Config struct {
	// Clock is what the age of what is known of ranks is decided by.
	Clock graniteknot.AgeClock
	// Fence is higher than any former keeper's.
	Fence graniteknot.Position
	// OwnRank is the keeper's own rank, FormerRank that of the keeper before it; the same
	// when there was none, or it is not known.
	OwnRank, FormerRank graniteknot.Rank
	// Engine has experts.
	Engine *catalog.Engine
	// MaxEventGap is the longest useful pause between events; 0 is unknown.
	MaxEventGap time.Duration
	// LinkRate is what the keeper's box can receive, in bytes a second; 0 is unknown.
	LinkRate float64
	// Planner has a threshold of its own or, if that is 0, gets one that follows
	// how long passes take.
	Planner *planner.Planner
	// Members are all ranks, in order.
	Members []*Member
	// OnForecast is given what is known of the length of passes, once a round; nil for
	// nobody.
	OnForecast func(Forecast)
	Log        *eventlog.Log
	Meter      *meter.Meter
}

// Coordinator keeps one group's map while it holds the highest fence. It is used by
// one goroutine. Make it with NewKeeper.
type Coordinator struct {
	Config
	// placement is the map in force at mapping.
	placement *planner.Placement
	mapping   held.Version
	epoch     held.Epoch
	// offered is the map that is being switched to; nil for none.
	offered *planner.Placement
	wish    held.Wish
	// sequence counts this keeper's maps.
	sequence held.Version
	// prepared is when each rank was last told to prepare.
	prepared []time.Time
	window   window
	// parts are the ranks of a large group as they are reached; nil for a small one.
	parts []*part
	// tally reads the counts of a large group; nil for a small one.
	tally *tally
	pace  pace
	// forecaster knows how long passes will take.
	forecaster forecaster
	// paces is how many times slower than the fastest each rank is; nil when none
	// is slow.
	paces []float64
	// fixed tells that the planner's threshold was set from outside.
	fixed bool
	// misled tells that what is chosen has changed since the last plan.
	misled bool
	// changes is how often what is chosen had changed at the last look.
	changes int
	// replaced tells that the map that is being prepared took another's place.
	replaced bool
	// informed tells that all orders of the last round were answered, so that the next
	// one need not look; given are these orders.
	informed bool
	given    []held.Order
	// news tells that new counts have come.
	news chan struct{}
	// rounds counts the rounds.
	rounds uint64
	// phase is the last decision's; since is when it began.
	phase   held.Phase
	since   time.Time
	counted time.Time
}

// NewCoordinator returns a keeper that does nothing until Run.
func NewCoordinator(p Config) *Coordinator {
	k := &Coordinator{
		Config: p, fixed: p.Planner.Threshold != 0, prepared: make([]time.Time, len(p.Members)),
		window: newWindow(p.Planner.Shape, loadOne(p.Engine.Experts)), news: make(chan struct{}, 1),
	}
	for _, m := range p.Members {
		m.clock = p.Clock
	}
	k.parts = partsOf(p.Members, p.OwnRank)
	s := p.Planner.Shape
	if s.Ranks*s.Layers*s.Experts > smallGroup {
		k.tally = newTally(k.window, &k.Config, k.news)
	}
	return k
}

// version returns the number of the next map. Since fences grow from keeper to
// keeper, no two maps share a number.
func (k *Coordinator) version() held.Version {
	k.sequence++
	return held.Version(k.Fence)*maxSequence + k.sequence
}

// Run keeps the map until ctx is done or another keeper is heard of, whose fence
// it returns.
func (k *Coordinator) Run(ctx context.Context) graniteknot.Position {
	defer k.stop()
	for ctx.Err() == nil {
		pause, fenced := k.round(ctx)
		if fenced != 0 {
			return fenced
		}
		k.rest(ctx, pause)
	}
	return 0
}

// rest waits for a time, or for new counts where the group has nothing to do.
func (k *Coordinator) rest(ctx context.Context, d time.Duration) {
	news := k.news
	if k.phase != held.PhaseIdle {
		news = nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-news:
	case <-ctx.Done():
	}
}

// stop ends the calls that are under way.
func (k *Coordinator) stop() {
	for _, m := range k.Members {
		m.calls.Stop()
	}
	if k.tally != nil {
		k.tally.calls.Stop()
	}
}

// round reads all ranks and gives the orders that follow. It returns when the
// next round is due.
func (k *Coordinator) round(ctx context.Context) (time.Duration, graniteknot.Position) {
	now := k.Clock.Now()
	count := k.tally == nil && now.Sub(k.counted) >= k.countPeriod() && k.pause(k.phase) > fastRound
	if k.tally != nil && k.placement != nil && k.phase != held.PhaseClosed {
		k.tally.read(now, k.switching(now))
	}
	k.rounds++
	if !k.informed {
		k.ask(ctx, k.question(count), now)
	}
	k.informed = false
	looks, whole := k.looks()
	if fenced := k.otherFence(); fenced > k.Fence {
		return 0, fenced
	}
	if !whole {
		pause := k.without(ctx, now)
		k.tell()
		return pause, 0
	}
	states := make([]held.State, len(looks))
	for i := range looks {
		states[i] = looks[i].state
	}
	if orders := k.fences(states); len(orders) > 0 {
		k.give(ctx, orders, now)
		return fastRound, 0
	}
	k.slow(looks)
	known := k.learn(looks, states)
	if count {
		k.observe(looks, now)
	}
	if known {
		k.plan()
	}
	k.pace.see(states[0].Step, now)
	k.wish.Own, k.wish.Home, k.wish.Lead = k.OwnRank, k.home(), k.pace.lead()
	d := held.Decide(states, k.wish)
	k.wish.Freed = max(k.wish.Freed, d.Freed)
	k.enter(d.Phase)
	k.tell()
	if k.informed = k.give(ctx, d.Orders, now) && k.arms(&d); k.informed {
		return 0, 0
	}
	return k.pause(d.Phase), 0
}

// arms tells whether a decision arms ranks that the one before did not. Their answers
// are as good as looks, and while ranks are armed every look makes the step come nearer
// at which the group stands.
func (k *Coordinator) arms(d *held.Decision) bool {
	same := slices.Equal(d.Orders, k.given)
	k.given = d.Orders
	return d.Phase == held.PhaseArming && !same
}

// question is what ranks are asked and told in a round.
func (k *Coordinator) question(counts bool) *wire.LookRequest {
	f := k.foretold()
	return &wire.LookRequest{
		Fence: int64(k.Fence), OwnRank: int32(k.OwnRank) + 1, Counts: counts, Lists: k.placement == nil,
		Skew: float32(f.Skew), Loading: f.Loading, Forecast: f.Sequence,
	}
}

// enter notes a phase and logs it.
func (k *Coordinator) enter(p held.Phase) {
	if p == k.phase {
		return
	}
	now := k.Clock.Now()
	k.pace.enter(p, now)
	if k.since.IsZero() {
		k.since = now
	}
	k.Meter.Observe("graniteknot_map_phase_seconds", now.Sub(k.since), meter.Label{Name: "phase", Value: k.phase.String()})
	k.Log.Info("switch", slog.String("phase", p.String()), slog.String("former", k.phase.String()),
		slog.Int64("map", int64(k.wish.Version)), slog.Int64("in_force", int64(k.mapping)), slog.Int64("epoch", int64(k.epoch)),
		slog.Int64("fence", int64(k.Fence)), eventlog.Milliseconds("former_took", now.Sub(k.since)))
	k.phase, k.since = p, now
}
