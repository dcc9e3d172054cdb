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
	// minLead and maxLead bound how many passes ahead a step is held. All ranks must be
	// known to be armed before that step, or the group stalls.
	minLead = 2
	maxLead = 16
	// fastInterval is the time between rounds while a step is held.
	fastInterval = 5 * time.Millisecond
	// slowInterval is the time between rounds while ranks load a map or have yet to reach
	// an armed step.
	slowInterval = 40 * time.Millisecond
	// incompleteInterval is the time between rounds of a group with missing ranks.
	incompleteInterval = 250 * time.Millisecond
	// planInterval is the time between rounds of an idle group, each of which reads the
	// counts and plans.
	planInterval = 60 * time.Millisecond
	// countInterval is the minimum time between two reads of the counts. After a suspected
	// load shift they are read again after shiftInterval, about one pass, so that the plan
	// uses only counts from after the shift.
	countInterval = 60 * time.Millisecond
	shiftInterval = 40 * time.Millisecond
	// windowLength is the length of the count window while the load is stable,
	// rollingLength where load shifts are not detected.
	windowLength  = 1500 * time.Millisecond
	rollingLength = 200 * time.Millisecond
	// slowExpertLoad is the expert load time from which plans wait for counts that come
	// entirely from after a load shift; it is about twice that wait. Where loading is
	// faster, a map planned from mixed counts is soon replaced. Groups with three relay
	// hops wait however fast experts load: a switch there takes half a second, which is
	// five count intervals.
	slowExpertLoad = 150 * time.Millisecond
	// switchLoadTime is how long a rank may load for one switch, if that is enough for one
	// expert. Loading takes most of a switch, and the load shifts meanwhile.
	switchLoadTime = 100 * time.Millisecond
	// maxSwitchLoadTime bounds that time where passes are long. The load shifts meanwhile,
	// but a rank many times slower than the others has to be emptied in few switches.
	maxSwitchLoadTime = 400 * time.Millisecond
	// perCallPause is the processor and link time that one look call costs the coordinator;
	// it is added to the interval for each call.
	perCallPause = 600 * time.Microsecond
	// replyWait is how long a round waits for answers. Later ones are used in the next
	// round.
	replyWait = 40 * time.Millisecond
	// maxLookAge is the maximum age of a rank's snapshot to decide on. Older ones are
	// harmless, because only this coordinator's orders change that state, but nothing new
	// is started on them.
	maxLookAge = 2 * time.Second
	// prepareRetryDelay is how long after the expected load time a prepare order is
	// repeated to a rank that does not show the map.
	prepareRetryDelay = time.Second
	// mapsPerFence bounds the maps of one coordinator; see version.
	mapsPerFence = 1 << 20
	// roundBits is the width of the round number in a forecast's sequence. The fencing
	// token above it makes sequences grow from one coordinator to the next.
	roundBits = 32
)

// noRank stands for no rank.
const noRank graniteknot.Rank = -1

// Config configures a Coordinator.
type Config struct {
	// Clock measures the age of what is known about ranks.
	Clock graniteknot.AgeClock
	// Fence is the fencing token, higher than that of any former coordinator.
	Fence graniteknot.Position
	// OwnRank is the rank on the coordinator's box, FormerRank that on the previous
	// coordinator's box; they are equal when there was none or it is unknown.
	OwnRank, FormerRank graniteknot.Rank
	// Engine must have Experts set.
	Engine *catalog.Engine
	// MaxEventGap is the longest acceptable pause between stream events; 0 is unknown.
	MaxEventGap time.Duration
	// LinkRate is the receive rate of the coordinator's box in bytes a second; 0 is
	// unknown.
	LinkRate float64
	// Planner keeps its threshold if that is set; otherwise the threshold follows the pass
	// duration.
	Planner *planner.Planner
	// Members are all ranks, in order.
	Members []*Member
	// OnForecast, if set, receives the forecast once a round.
	OnForecast func(Forecast)
	Log        *eventlog.Log
	Meter      *meter.Meter
}

// Coordinator maintains the map of one group while it has the highest fencing token. It
// must be used by a single goroutine. Create it with NewCoordinator.
type Coordinator struct {
	Config
	// placement is the map in force, mapping its version.
	placement *planner.Placement
	mapping   held.Version
	// slotsKnown reports that the experts' slots in placement are those in which sidecars know
	// them. Ranks list their experts without the empty slots.
	slotsKnown bool
	epoch      held.Epoch
	// pending is the map being switched to; nil for none.
	pending *planner.Placement
	desired held.CoordinatorState
	// sequence counts the maps planned by this coordinator.
	sequence held.Version
	// preparedAt is when each rank was last sent a prepare order.
	preparedAt []time.Time
	window     countWindow
	// subtrees are the relay subtrees of a large group; nil for a small one.
	subtrees []*subtree
	// aggregator reads the counts of a large group; nil for a small one.
	aggregator *countAggregator
	timing     switchTiming
	// forecaster estimates how long passes take.
	forecaster forecaster
	// paces is each rank's pass time relative to the fastest; nil when none is slow.
	paces []float64
	// thresholdFixed reports that the caller set the planner's threshold.
	thresholdFixed bool
	// planOutdated reports that the load has shifted since the last plan.
	planOutdated bool
	// shifts is the number of load shifts seen up to the last plan.
	shifts int
	// replacedPending reports that the pending map replaced another one before that was in
	// force.
	replacedPending bool
	// statesCurrent reports that all of lastOrders were answered, so that the next round
	// need not read the ranks.
	statesCurrent bool
	lastOrders    []held.Order
	// loggedRelease is the last release order that was logged.
	loggedRelease held.Order
	// countsReady signals new counts from the aggregator.
	countsReady chan struct{}
	// invalidLists logs ranks whose maps are left out.
	invalidLists eventlog.Sparse
	// unarmed reports that all ranks were seen with nothing armed.
	unarmed bool
	// rounds counts the rounds.
	rounds uint64
	// phase is that of the last decision, entered at phaseSince.
	phase      held.Phase
	phaseSince time.Time
	countedAt  time.Time
}

// NewCoordinator returns a coordinator, which is started with Run.
func NewCoordinator(config Config) *Coordinator {
	c := &Coordinator{
		Config: config, thresholdFixed: config.Planner.MinMoveGain != 0, preparedAt: make([]time.Time, len(config.Members)),
		window: newCountWindow(config.Planner.Shape, expertLoadTime(config.Engine.Experts)), countsReady: make(chan struct{}, 1),
	}
	for _, m := range config.Members {
		m.clock, m.log, m.meter = config.Clock, config.Log, config.Meter
	}
	c.subtrees = newSubtrees(config.Members, config.OwnRank)
	shape := config.Planner.Shape
	if shape.Ranks*shape.Layers*shape.Experts > maxDirectCounts {
		c.aggregator = newCountAggregator(c.window, &c.Config, c.countsReady)
	}
	return c
}

// version returns the version of the next map. Fencing tokens grow from one coordinator to
// the next, so no two maps share a version.
func (c *Coordinator) version() held.Version {
	c.sequence++
	return held.Version(c.Fence)*mapsPerFence + c.sequence
}

// Run maintains the map until ctx is done or a rank reports a higher fencing token, which
// it returns.
func (c *Coordinator) Run(ctx context.Context) graniteknot.Position {
	defer c.stop()
	for ctx.Err() == nil {
		delay, higher := c.round(ctx)
		if higher != 0 {
			return higher
		}
		c.wait(ctx, delay)
	}
	return 0
}

// wait sleeps for d, or until new counts arrive while no switch is in progress.
func (c *Coordinator) wait(ctx context.Context, d time.Duration) {
	countsReady := c.countsReady
	if c.phase != held.PhaseIdle {
		countsReady = nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-countsReady:
	case <-ctx.Done():
	}
}

// stop cancels the calls in flight.
func (c *Coordinator) stop() {
	for _, m := range c.Members {
		m.calls.Stop()
	}
	if c.aggregator != nil {
		c.aggregator.calls.Stop()
	}
}

// round reads all ranks and sends the resulting orders. It returns the delay until the next
// round, or a higher fencing token reported by a rank.
func (c *Coordinator) round(ctx context.Context) (time.Duration, graniteknot.Position) {
	now := c.Clock.Now()
	readCounts := c.aggregator == nil && now.Sub(c.countedAt) >= c.countPeriod() && c.roundInterval(c.phase) > fastInterval
	if c.aggregator != nil && c.placement != nil && c.phase != held.PhaseUnavailable {
		c.aggregator.keepReading(now, c.switching(now))
	}
	c.rounds++
	if !c.statesCurrent {
		c.lookAll(ctx, c.lookRequest(readCounts), now)
	}
	c.statesCurrent = false
	snapshots, complete := c.snapshots()
	if higher := c.otherFence(); higher > c.Fence {
		return 0, higher
	}
	if !complete {
		delay := c.roundWithoutFormer(ctx, now)
		c.publishForecast()
		return delay, 0
	}
	states := make([]held.State, len(snapshots))
	for i := range snapshots {
		states[i] = snapshots[i].state
	}
	if !c.fenced(ctx, states, now) {
		return fastInterval, 0
	}
	c.unarmed = c.unarmed || noneArmed(states)
	c.updatePaces(snapshots)
	mapKnown := c.updatePlacement(snapshots, states)
	if readCounts {
		c.addCounts(snapshots, now)
	}
	if mapKnown {
		c.plan()
	}
	c.timing.observe(states[0].Step, c.forecaster.skew, now)
	c.desired.OwnRank, c.desired.HoldRank, c.desired.Lead = c.OwnRank, c.holder(), c.timing.lead()
	decision := held.Decide(states, c.desired)
	c.desired.ReleasedStep = max(c.desired.ReleasedStep, decision.ReleasedStep)
	c.enterPhase(decision.Phase)
	if c.aggregator != nil && c.switching(c.Clock.Now()) {
		c.aggregator.pause()
	}
	c.publishForecast()
	c.logRelease(&decision)
	if c.statesCurrent = c.sendOrders(ctx, decision.Orders, now) && c.armsNewly(&decision); c.statesCurrent {
		return 0, 0
	}
	return c.roundInterval(decision.Phase), 0
}

// armsNewly reports whether a decision has arm orders that differ from those of the
// previous round. Their answers already give the ranks' state, and while ranks are armed a
// further look would bring the step at which the group stalls closer.
func (c *Coordinator) armsNewly(decision *held.Decision) bool {
	same := slices.Equal(decision.Orders, c.lastOrders)
	c.lastOrders = decision.Orders
	return decision.Phase == held.PhaseArming && !same
}

// lookRequest returns the request that a round sends to all ranks. It also carries the
// forecast.
func (c *Coordinator) lookRequest(counts bool) *wire.LookRequest {
	f := c.currentForecast()
	return &wire.LookRequest{
		Fence: int64(c.Fence), OwnRank: int32(c.OwnRank) + 1, Counts: counts, Lists: c.placement == nil, Unarmed: c.unarmed,
		Skew: float32(f.Skew), Loading: f.Loading, Forecast: f.Sequence,
	}
}

// enterPhase records a change of phase and logs it.
func (c *Coordinator) enterPhase(p held.Phase) {
	if p == c.phase {
		return
	}
	now := c.Clock.Now()
	c.timing.enterPhase(p, now)
	if c.phaseSince.IsZero() {
		c.phaseSince = now
	}
	c.Meter.Observe("graniteknot_map_phase_seconds", now.Sub(c.phaseSince), meter.Label{Name: "phase", Value: c.phase.String()})
	c.Log.Info("switch", slog.String("phase", p.String()), slog.String("former", c.phase.String()),
		slog.Int64("map", int64(c.desired.NewVersion)), slog.Int64("in_force", int64(c.mapping)), slog.Int64("epoch", int64(c.epoch)),
		slog.Int64("fence", int64(c.Fence)), eventlog.Milliseconds("former_took", now.Sub(c.phaseSince)))
	c.phase, c.phaseSince = p, now
}
