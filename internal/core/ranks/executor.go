package ranks

import (
	"context"
	"log/slog"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

const (
	// orderTimeout bounds an order to the local rank, including retries.
	orderTimeout = 450 * time.Millisecond
	// attemptTimeout bounds one attempt. The rank is on the same box and answers within a
	// few milliseconds or not at all. Orders are idempotent, so an unanswered one is sent
	// again.
	attemptTimeout = 45 * time.Millisecond
)

// Executor reads its local rank and gives it the coordinator's orders. Set the exported
// fields. It implements wire.Ranks.
type Executor struct {
	Rank held.Rank
	// Clock measures how long ago a coordinator was heard.
	Clock graniteknot.AgeClock
	// Target is the rank's address, for coordinators that have to bypass the sidecar.
	Target graniteknot.Address
	Log    *eventlog.Log
	Meter  *meter.Meter
	// PeerClient returns a client for the sidecar at an address; nil selects datagrams with
	// HTTP as a fallback.
	PeerClient func(graniteknot.Address) wire.Ranks
	// Datagrams sends calls to other sidecars in datagrams; nil selects HTTP only.
	Datagrams DatagramClient

	httpPeers    httpPeers
	recentMaps   recentMaps
	mapLog       mapLog
	countHistory countHistory

	mu sync.Mutex
	// coordinator has the highest fencing token received, last seen at fenceHeardAt; former is the
	// one before.
	coordinator, former coordinatorRecord
	fenceHeardAt        time.Time
	// forecast is the newest one received from a coordinator, at forecastAt.
	forecast   Forecast
	forecastAt time.Time
}

// CoordinatorRank returns the rank on the last known coordinator's box; false when there is
// none.
func (e *Executor) CoordinatorRank() (graniteknot.Rank, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coordinator.rank, e.coordinator.rankKnown
}

// Forecast returns the newest forecast from a coordinator and when it was received.
func (e *Executor) Forecast() (Forecast, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.forecast, e.forecastAt
}

// recordCoordinator stores the rank of the coordinator with the highest fencing token, whether it saw
// that nothing was armed, and its forecast if it is newer. A look of a former one is ignored.
func (e *Executor) recordCoordinator(fence graniteknot.Position, r graniteknot.Rank, unarmed bool, f Forecast) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence != e.coordinator.fence {
		return
	}
	e.coordinator.rank, e.coordinator.rankKnown = r, true
	e.coordinator.unarmed = e.coordinator.unarmed || unarmed
	if f.Sequence > e.forecast.Sequence {
		e.forecast, e.forecastAt = f, e.Clock.Now()
	}
}

// Fence returns the highest fencing token received and when it was last seen.
func (e *Executor) Fence() (graniteknot.Position, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coordinator.fence, e.fenceHeardAt
}

// admitFence accepts a coordinator's fencing token and returns 0, or returns the known one
// if that is higher.
func (e *Executor) admitFence(fence graniteknot.Position) (higher graniteknot.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence < e.coordinator.fence {
		return e.coordinator.fence
	}
	if fence > e.coordinator.fence {
		e.Log.Info("keeper", slog.Int64("fence", int64(fence)), slog.Int64("former", int64(e.coordinator.fence)))
		e.former = e.coordinator
		e.coordinator = coordinatorRecord{fence: fence, rank: e.former.rank, rankKnown: e.former.rankKnown}
	}
	e.fenceHeardAt = e.Clock.Now()
	return 0
}

// Observe records a state of the local rank and logs each map that comes into force.
func (e *Executor) Observe(s *held.State) {
	e.mapLog.observe(e.Log, s, e.recentMaps.digest(s.Epoch, s.Current))
}

// Look implements wire.Ranks.
func (e *Executor) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	if r.GetFence() != 0 {
		if higher := e.admitFence(graniteknot.Position(r.GetFence())); higher != 0 {
			return &wire.LookReply{Fenced: int64(higher)}, nil
		}
		if own := r.GetOwnRank(); own > 0 {
			e.recordCoordinator(graniteknot.Position(r.GetFence()), graniteknot.Rank(own-1), r.GetUnarmed(), Forecast{Skew: float64(r.GetSkew()), Loading: r.GetLoading(), Sequence: r.GetForecast()})
		}
	}
	report, err := e.Rank.Report(ctx)
	if err != nil {
		return nil, err
	}
	e.Observe(&report.State)
	fence, heardAt := e.Fence()
	reply := &wire.LookReply{
		Group: string(report.Group), Rank: int32(report.Rank), Size: int32(report.GroupSize), Target: string(e.Target),
		State: stateToWire(report.State, report.Running+report.Waiting > 0), Pace: report.Pace,
	}
	if r.GetFence() == 0 && fence != 0 {
		reply.Keeper, reply.KeeperAgeMs = int64(fence), e.Clock.Since(heardAt).Milliseconds()
	}
	if r.GetCounts() {
		if reply.Counts, err = e.Rank.Counts(ctx); err != nil {
			return nil, err
		}
	}
	if r.GetLists() {
		lists, err := e.Rank.Lists(ctx)
		if err != nil {
			return nil, err
		}
		reply.Lists = listsToWire(lists)
		e.tellFormer(reply)
	}
	return reply, nil
}

// Give implements wire.Ranks.
func (e *Executor) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	if higher := e.admitFence(graniteknot.Position(r.GetFence())); higher != 0 {
		return &wire.GiveReply{Result: int32(held.ResultFenced), Fenced: int64(higher)}, nil
	}
	c := commandFromWire(r)
	if c.Kind == held.KindPrepare {
		if c.Placement == nil {
			placement, ok := e.placementFromMoves(c.Epoch, r)
			if !ok || mapDigest(r.GetDigest()) != digest(placement) {
				return &wire.GiveReply{UnknownBase: true}, nil
			}
			c.Placement = placement
		}
		e.recentMaps.add(c.Epoch, c.Version, c.Placement)
	}
	result := e.execute(ctx, c)
	return &wire.GiveReply{Result: int32(result)}, nil
}

// placementFromMoves builds the map that a request describes by moves from a base map;
// false when the base is unknown. Base 0 is the initial map, which follows from the shape.
func (e *Executor) placementFromMoves(epoch held.Epoch, r *wire.GiveRequest) (*planner.Placement, bool) {
	if r.GetBase() != 0 {
		return e.recentMaps.withMoves(epoch, held.Version(r.GetBase()), r.GetMoves())
	}
	s := planner.Shape{Layers: int(r.GetSets()), Experts: int(r.GetExperts()), Ranks: int(r.GetRanks()), Slots: int(r.GetPlaces())}
	if !validShape(s) {
		return nil, false
	}
	return applyMoves(planner.NewRoundRobin(s), r.GetMoves())
}

// maxSlots bounds the slots of a map that a request describes by its shape.
const maxSlots = 1 << 20

// validShape reports whether a shape is within bounds and has a slot for every expert.
func validShape(s planner.Shape) bool {
	if s.Layers <= 0 || s.Experts <= 0 || s.Ranks <= 0 || s.Slots <= 0 {
		return false
	}
	if s.Layers > maxSlots || s.Ranks > maxSlots || s.Slots > maxSlots || s.Layers*s.Ranks > maxSlots || s.Layers*s.Ranks*s.Slots > maxSlots {
		return false
	}
	return s.Experts <= s.Ranks*s.Slots
}

func (e *Executor) execute(ctx context.Context, c *held.Command) held.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	result, attempts, err := e.executeWithRetry(ctx, c)
	e.Meter.Count("graniteknot_orders_total",
		meter.Label{Name: "order", Value: c.Kind.String()}, meter.Label{Name: "result", Value: result.String()})
	e.Meter.Observe("graniteknot_order_seconds", time.Since(began), meter.Label{Name: "order", Value: c.Kind.String()})
	fields := []slog.Attr{
		slog.String("order", c.Kind.String()), slog.Int64("map", int64(c.Version)), slog.Uint64("step", uint64(c.Step)),
		slog.Int64("epoch", int64(c.Epoch)), slog.Int64("fence", int64(c.Fence)), slog.String("result", result.String()),
		slog.Int("tries", attempts), eventlog.Milliseconds("took", time.Since(began)),
	}
	if c.Kind == held.KindPrepare {
		fields = append(fields, slog.String("digest", e.recentMaps.digest(c.Epoch, c.Version).String()))
	}
	if err != nil {
		e.Log.Warn("order", append(fields, slog.String("error", err.Error()))...)
		return result
	}
	e.Log.Info("order", fields...)
	return result
}

// executeWithRetry repeats an order until it is answered or ctx ends.
func (e *Executor) executeWithRetry(ctx context.Context, c *held.Command) (result held.Result, attempts int, err error) {
	for {
		attempts++
		result, err = orderOnce(ctx, e.Rank, c, attemptTimeout)
		if result != held.ResultUnknown || ctx.Err() != nil {
			return result, attempts, err
		}
	}
}
