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
	// minLead and mostLead bound how many passes ahead a step is held. All arms
	// are to be seen before it begins, so that the group does not stand.
	minLead = 2
	maxLead = 16
	// fastInterval is the time between rounds while a step is held.
	fastInterval = 5 * time.Millisecond
	// slowInterval is the time between rounds while ranks load a map, or have yet
	// to reach an armed step.
	slowInterval = 40 * time.Millisecond
	// incompleteInterval is the time between rounds of a group that is not whole.
	incompleteInterval = 250 * time.Millisecond
	// planInterval is the time between two looks of an idle group, each of which
	// reads the counts and plans.
	planInterval = 60 * time.Millisecond
	// countInterval is the least time between two readings of the counts. After a
	// change of what is chosen they are read again after changedRound, which is
	// about a pass: the plan then holds nothing of before.
	countInterval = 60 * time.Millisecond
	shiftInterval = 40 * time.Millisecond
	// windowLength is how far a plan looks back while nothing changes, rollingLength
	// where changes are not looked for.
	windowLength  = 1500 * time.Millisecond
	rollingLength = 200 * time.Millisecond
	// slowExpertLoad is how long one expert takes to load at least for a plan to wait
	// for counts that hold nothing of before a change: about twice that wait. Where
	// loading is faster, a map for a mixture is soon followed by another.
	// Where a keeper reaches its ranks over three steps, a switch takes half a second,
	// which is five intervals: then plans wait however fast experts load.
	slowExpertLoad = 150 * time.Millisecond
	// switchLoadTime is how long a rank may load for one switch, if that is enough for
	// one expert. Loading takes most of a switch, and interests move on meanwhile.
	switchLoadTime = 100 * time.Millisecond
	// maxSwitchLoadTime bounds that time where passes are long. Interests move on
	// meanwhile, but a rank that is many times slower than the others has to be
	// emptied in few switches.
	maxSwitchLoadTime = 400 * time.Millisecond
	// perCallPause is added to each pause for each call of a look: what it takes of
	// the keeper's processor and link.
	perCallPause = 600 * time.Microsecond
	// replyWait is how long a round waits for the ranks' answers; what comes
	// later serves the next round.
	replyWait = 40 * time.Millisecond
	// maxLookAge is how old a look at a rank may be to decide on. Old looks are
	// harmless, since what they show only changes by this keeper's orders, but
	// nothing new is begun on them.
	maxLookAge = 2 * time.Second
	// prepareRetryDelay is when a map is offered again to a rank that does not show
	// it, beside the time that loading takes.
	prepareRetryDelay = time.Second
	// mapsPerFence bounds the maps of one keeper; see version.
	mapsPerFence = 1 << 20
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
	// pending is the map that is being switched to; nil for none.
	pending *planner.Placement
	desired held.Wish
	// sequence counts this keeper's maps.
	sequence held.Version
	// preparedAt is when each rank was last told to prepare.
	preparedAt []time.Time
	window     countWindow
	// subtrees are the ranks of a large group as they are reached; nil for a small one.
	subtrees []*subtree
	// aggregator reads the counts of a large group; nil for a small one.
	aggregator *countAggregator
	timing     switchTiming
	// forecaster knows how long passes will take.
	forecaster forecaster
	// paces is how many times slower than the fastest each rank is; nil when none
	// is slow.
	paces []float64
	// thresholdFixed tells that the planner's threshold was set from outside.
	thresholdFixed bool
	// planOutdated tells that what is chosen has changed since the last plan.
	planOutdated bool
	// shifts is how often what is chosen had changed at the last look.
	shifts int
	// replacedPending tells that the map that is being prepared took another's place.
	replacedPending bool
	// statesCurrent tells that all orders of the last round were answered, so that the next
	// one need not look; given are these orders.
	statesCurrent bool
	lastOrders    []held.Order
	// countsReady tells that new counts have come.
	countsReady chan struct{}
	// rounds counts the rounds.
	rounds uint64
	// phase is the last decision's; since is when it began.
	phase      held.Phase
	phaseSince time.Time
	countedAt  time.Time
}

// NewCoordinator returns a keeper that does nothing until Run.
func NewCoordinator(p Config) *Coordinator {
	k := &Coordinator{
		Config: p, thresholdFixed: p.Planner.Threshold != 0, preparedAt: make([]time.Time, len(p.Members)),
		window: newCountWindow(p.Planner.Shape, expertLoadTime(p.Engine.Experts)), countsReady: make(chan struct{}, 1),
	}
	for _, m := range p.Members {
		m.clock = p.Clock
	}
	k.subtrees = newSubtrees(p.Members, p.OwnRank)
	s := p.Planner.Shape
	if s.Ranks*s.Layers*s.Experts > maxDirectCounts {
		k.aggregator = newCountAggregator(k.window, &k.Config, k.countsReady)
	}
	return k
}

// version returns the number of the next map. Since fences grow from keeper to
// keeper, no two maps share a number.
func (k *Coordinator) version() held.Version {
	k.sequence++
	return held.Version(k.Fence)*mapsPerFence + k.sequence
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
		k.wait(ctx, pause)
	}
	return 0
}

// wait waits for a time, or for new counts where the group has nothing to do.
func (k *Coordinator) wait(ctx context.Context, d time.Duration) {
	news := k.countsReady
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
	if k.aggregator != nil {
		k.aggregator.calls.Stop()
	}
}

// round reads all ranks and gives the orders that follow. It returns when the
// next round is due.
func (k *Coordinator) round(ctx context.Context) (time.Duration, graniteknot.Position) {
	now := k.Clock.Now()
	count := k.aggregator == nil && now.Sub(k.countedAt) >= k.countPeriod() && k.roundInterval(k.phase) > fastInterval
	if k.aggregator != nil && k.placement != nil && k.phase != held.PhaseClosed {
		k.aggregator.keepReading(now, k.switching(now))
	}
	k.rounds++
	if !k.statesCurrent {
		k.lookAll(ctx, k.lookRequest(count), now)
	}
	k.statesCurrent = false
	looks, whole := k.snapshots()
	if fenced := k.otherFence(); fenced > k.Fence {
		return 0, fenced
	}
	if !whole {
		pause := k.roundWithoutFormer(ctx, now)
		k.publishForecast()
		return pause, 0
	}
	states := make([]held.State, len(looks))
	for i := range looks {
		states[i] = looks[i].state
	}
	if orders := k.fenceOrders(states); len(orders) > 0 {
		k.sendOrders(ctx, orders, now)
		return fastInterval, 0
	}
	k.updatePaces(looks)
	known := k.updatePlacement(looks, states)
	if count {
		k.addCounts(looks, now)
	}
	if known {
		k.plan()
	}
	k.timing.observe(states[0].Step, now)
	k.desired.Own, k.desired.Home, k.desired.Lead = k.OwnRank, k.holder(), k.timing.lead()
	d := held.Decide(states, k.desired)
	k.desired.Freed = max(k.desired.Freed, d.Freed)
	k.enterPhase(d.Phase)
	k.publishForecast()
	if k.statesCurrent = k.sendOrders(ctx, d.Orders, now) && k.armsNewly(&d); k.statesCurrent {
		return 0, 0
	}
	return k.roundInterval(d.Phase), 0
}

// armsNewly tells whether a decision armsNewly ranks that the one before did not. Their answers
// are as good as looks, and while ranks are armed every look makes the step come nearer
// at which the group stands.
func (k *Coordinator) armsNewly(d *held.Decision) bool {
	same := slices.Equal(d.Orders, k.lastOrders)
	k.lastOrders = d.Orders
	return d.Phase == held.PhaseArming && !same
}

// lookRequest is what ranks are asked and told in a round.
func (k *Coordinator) lookRequest(counts bool) *wire.LookRequest {
	f := k.currentForecast()
	return &wire.LookRequest{
		Fence: int64(k.Fence), OwnRank: int32(k.OwnRank) + 1, Counts: counts, Lists: k.placement == nil,
		Skew: float32(f.Skew), Loading: f.Loading, Forecast: f.Sequence,
	}
}

// enterPhase notes a phase and logs it.
func (k *Coordinator) enterPhase(p held.Phase) {
	if p == k.phase {
		return
	}
	now := k.Clock.Now()
	k.timing.enterPhase(p, now)
	if k.phaseSince.IsZero() {
		k.phaseSince = now
	}
	k.Meter.Observe("graniteknot_map_phase_seconds", now.Sub(k.phaseSince), meter.Label{Name: "phase", Value: k.phase.String()})
	k.Log.Info("switch", slog.String("phase", p.String()), slog.String("former", k.phase.String()),
		slog.Int64("map", int64(k.desired.Version)), slog.Int64("in_force", int64(k.mapping)), slog.Int64("epoch", int64(k.epoch)),
		slog.Int64("fence", int64(k.Fence)), eventlog.Milliseconds("former_took", now.Sub(k.phaseSince)))
	k.phase, k.phaseSince = p, now
}
