package obeying

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/planner"
)

var errDeaf = errors.New("no answer")

// Report implements held.Rank.
func (r *Rank) Report(context.Context) (held.Report, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.deaf {
		return held.Report{}, errDeaf
	}
	return held.Report{Group: "g", Rank: r.number, GroupSize: len(r.group.ranks), State: r.state, Running: 1, Pace: r.pace}, nil
}

// Counts implements held.Rank.
func (r *Rank) Counts(context.Context) ([]uint64, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return append([]uint64(nil), r.counts...), nil
}

// Lists implements held.Rank.
func (r *Rank) Lists(context.Context) ([][]graniteknot.Expert, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.now, nil
}

// Order implements held.Rank.
func (r *Rank) Order(ctx context.Context, c *held.Command) (held.Result, error) {
	g := r.group
	g.mu.Lock()
	deaf := r.deaf
	late := g.random.Float64() < g.LateShare
	delay := g.LateFrom
	if g.LateTo > g.LateFrom {
		delay += time.Duration(g.random.Int64N(int64(g.LateTo - g.LateFrom)))
	}
	g.mu.Unlock()
	if deaf {
		<-ctx.Done()
		return held.ResultUnknown, errDeaf
	}
	if late {
		g.wait.Go(func(context.Context) {
			time.Sleep(delay)
			_, _ = r.obey(c)
		})
		<-ctx.Done()
		return held.ResultUnknown, fmt.Errorf("order: %w", ctx.Err())
	}
	return r.obey(c)
}

func (r *Rank) obey(c *held.Command) (held.Result, error) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Fence < r.fence && !g.Unfenced {
		return held.ResultFenced, nil
	}
	r.fence = max(r.fence, c.Fence)
	if c.Epoch != r.state.Epoch {
		return held.ResultConflict, nil
	}
	s := &r.state
	switch {
	case c.Kind == held.KindPrepare && c.Version > r.highest && s.Armed == 0 && c.Placement != nil:
		r.prepare(c)
	case c.Kind == held.KindHold && c.Step > s.Step && s.Held == held.NoStep:
		s.Held = c.Step
	case c.Kind == held.KindArm && s.Prepared == c.Version && c.Step > s.Step:
		s.Armed, s.ArmedAt = c.Version, c.Step
	case c.Kind == held.KindRelease && (c.Step == s.Held || c.Step == held.NoStep):
		if c.Step == s.Held {
			s.Held = held.NoStep
		}
	default:
		return held.ResultConflict, nil
	}
	return held.ResultDone, nil
}

// prepare loads what is new; called with the lock held.
func (r *Rank) prepare(c *held.Command) {
	r.highest = c.Version
	r.state.Prepared = 0
	next := lists(c.Placement, r.number)
	fresh := 0
	for l := range next {
		for _, e := range next[l] {
			if !has(r.now[l], e) {
				fresh++
			}
		}
	}
	epoch, contents := r.state.Epoch, digest(c.Placement)
	r.group.wait.Go(func(context.Context) {
		time.Sleep(time.Duration(fresh) * r.group.Load)
		r.group.mu.Lock()
		defer r.group.mu.Unlock()
		if r.highest == c.Version && r.state.Epoch == epoch {
			r.state.Prepared, r.prepared, r.preparedDigest = c.Version, next, contents
		}
	})
}

func lists(p *planner.Placement, r graniteknot.Rank) [][]graniteknot.Expert {
	out := make([][]graniteknot.Expert, p.Shape.Layers)
	for l := range out {
		for _, e := range p.Experts(graniteknot.Layer(l), r) {
			if e != planner.EmptySlot {
				out[l] = append(out[l], e)
			}
		}
	}
	return out
}

// digest hashes which experts each rank holds, in whatever order.
func digest(p *planner.Placement) uint64 {
	hash := fnv.New64a()
	for r := range p.Shape.Ranks {
		for _, experts := range lists(p, graniteknot.Rank(r)) {
			slices.Sort(experts)
			_, _ = fmt.Fprint(hash, experts)
		}
	}
	return hash.Sum64()
}

func has(list []graniteknot.Expert, e graniteknot.Expert) bool {
	for _, v := range list {
		if v == e {
			return true
		}
	}
	return false
}
