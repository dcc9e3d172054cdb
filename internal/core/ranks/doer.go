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
	// orderTime bounds an order to the own rank, with all its tries.
	orderTime = 450 * time.Millisecond
	// tryTime bounds one try. The rank is on the same box and answers within a
	// few milliseconds, or not at all; then the same order is given again, which
	// changes nothing if the first was taken.
	tryTime = 45 * time.Millisecond
)

// Executor reads its rank and gives it orders for the keeper. Set the exported
// fields. It implements wire.Ranks.
type Executor struct {
	Rank held.Rank
	// Clock is what the silence of keepers is decided by.
	Clock graniteknot.AgeClock
	// Target is the rank's address, for keepers that have to go around a
	// sidecar.
	Target graniteknot.Address
	Log    *eventlog.Log
	Meter  *meter.Meter
	// PeerClient reaches the sidecar at an address; nil for over HTTP.
	PeerClient func(graniteknot.Address) wire.Ranks
	// Datagrams reaches other sidecars by datagrams; nil for over HTTP only.
	Datagrams DatagramClient

	peers   peers
	maps    maps
	samples samples

	mu sync.Mutex
	// fence is the highest that was heard, heard when.
	fence graniteknot.Position
	heard time.Time
	// keeper is the own rank of the last keeper that told it; none before.
	keeper graniteknot.Rank
	told   bool
	// forecast is the newest that a keeper told, heard at foretold.
	forecast Forecast
	foretold time.Time
}

// CoordinatorRank returns the own rank of the last keeper; false when it is unknown.
func (d *Executor) CoordinatorRank() (graniteknot.Rank, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keeper, d.told
}

// Forecast returns the newest forecast of a keeper, and when it came.
func (d *Executor) Forecast() (Forecast, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.forecast, d.foretold
}

// note keeps the own rank of a keeper, and what it foretells.
func (d *Executor) note(r graniteknot.Rank, f Forecast) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keeper, d.told = r, true
	if f.Sequence > d.forecast.Sequence {
		d.forecast, d.foretold = f, d.Clock.Now()
	}
}

// Fence returns the highest fence heard, and when.
func (d *Executor) Fence() (graniteknot.Position, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.heard
}

// admit takes a keeper's fence, or returns the higher one that is known.
func (d *Executor) admit(fence graniteknot.Position) (higher graniteknot.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fence < d.fence {
		return d.fence
	}
	if fence > d.fence {
		d.Log.Info("keeper", slog.Int64("fence", int64(fence)), slog.Int64("former", int64(d.fence)))
	}
	d.fence, d.heard = fence, d.Clock.Now()
	return 0
}

// Look implements wire.Ranks.
func (d *Executor) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	if r.GetFence() != 0 {
		if higher := d.admit(graniteknot.Position(r.GetFence())); higher != 0 {
			return &wire.LookReply{Fenced: int64(higher)}, nil
		}
		if own := r.GetOwnRank(); own > 0 {
			d.note(graniteknot.Rank(own-1), Forecast{Skew: float64(r.GetSkew()), Loading: r.GetLoading(), Sequence: r.GetForecast()})
		}
	}
	report, err := d.Rank.Report(ctx)
	if err != nil {
		return nil, err
	}
	fence, heard := d.Fence()
	reply := &wire.LookReply{
		Group: string(report.Group), Rank: int32(report.Rank), Size: int32(report.Size), Target: string(d.Target),
		State: stateToWire(report.State, report.Running+report.Waiting > 0), Pace: report.Pace,
	}
	if r.GetFence() == 0 && fence != 0 {
		reply.Keeper, reply.KeeperAgeMs = int64(fence), d.Clock.Since(heard).Milliseconds()
	}
	if r.GetCounts() {
		if reply.Counts, err = d.Rank.Counts(ctx); err != nil {
			return nil, err
		}
	}
	if r.GetLists() {
		lists, err := d.Rank.Lists(ctx)
		if err != nil {
			return nil, err
		}
		reply.Lists = listsToWire(lists)
	}
	return reply, nil
}

// Give implements wire.Ranks.
func (d *Executor) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	if higher := d.admit(graniteknot.Position(r.GetFence())); higher != 0 {
		return &wire.GiveReply{Result: int32(held.ResultFenced), Fenced: int64(higher)}, nil
	}
	c := commandOf(r)
	if c.Kind == held.KindPrepare {
		if c.Placement == nil {
			base, ok := d.based(c.Epoch, r)
			if !ok {
				return &wire.GiveReply{UnknownBase: true}, nil
			}
			c.Placement = base
		}
		d.maps.put(c.Epoch, c.Version, c.Placement)
	}
	result := d.give(ctx, c)
	return &wire.GiveReply{Result: int32(result)}, nil
}

// based returns the map that a request tells by how it differs from another one;
// false when that one is unknown. The map that groups open with is known by its shape.
func (d *Executor) based(e held.Epoch, r *wire.GiveRequest) (*planner.Placement, bool) {
	if r.GetBase() != 0 {
		return d.maps.changed(e, held.Version(r.GetBase()), r.GetMoves())
	}
	s := planner.Shape{Layers: int(r.GetSets()), Experts: int(r.GetExperts()), Ranks: int(r.GetRanks()), Slots: int(r.GetPlaces())}
	if !sound(s) {
		return nil, false
	}
	return applied(planner.NewDealt(s), r.GetMoves())
}

// mostPlaces bounds the places of a map that is told by its shape.
const mostPlaces = 1 << 20

// sound tells whether a map may have a shape: every expert has a place.
func sound(s planner.Shape) bool {
	if s.Layers <= 0 || s.Experts <= 0 || s.Ranks <= 0 || s.Slots <= 0 {
		return false
	}
	if s.Layers > mostPlaces || s.Ranks > mostPlaces || s.Slots > mostPlaces || s.Layers*s.Ranks > mostPlaces || s.Layers*s.Ranks*s.Slots > mostPlaces {
		return false
	}
	return s.Experts <= s.Ranks*s.Slots
}

func (d *Executor) give(ctx context.Context, c *held.Command) held.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	began := time.Now()
	result, tries, err := d.try(ctx, c)
	d.Meter.Count("graniteknot_orders_total",
		meter.Label{Name: "order", Value: c.Kind.String()}, meter.Label{Name: "result", Value: result.String()})
	d.Meter.Observe("graniteknot_order_seconds", time.Since(began), meter.Label{Name: "order", Value: c.Kind.String()})
	fields := []slog.Attr{
		slog.String("order", c.Kind.String()), slog.Int64("map", int64(c.Version)), slog.Uint64("step", uint64(c.Step)),
		slog.Int64("epoch", int64(c.Epoch)), slog.Int64("fence", int64(c.Fence)), slog.String("result", result.String()),
		slog.Int("tries", tries), eventlog.Milliseconds("took", time.Since(began)),
	}
	if err != nil {
		d.Log.Warn("order", append(fields, slog.String("error", err.Error()))...)
		return result
	}
	d.Log.Info("order", fields...)
	return result
}

// try gives an order until it is answered or the time is over.
func (d *Executor) try(ctx context.Context, c *held.Command) (result held.Result, tries int, err error) {
	for {
		tries++
		result, err = tryOnce(ctx, d.Rank, c, tryTime)
		if result != held.ResultLost || ctx.Err() != nil {
			return result, tries, err
		}
	}
}
