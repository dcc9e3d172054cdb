package ranks_test

import (
	"context"
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

// frozenDoer is a sidecar that stops answering.
type frozenDoer struct {
	*ranks.Executor

	mu     sync.Mutex
	frozen bool
}

func (f *frozenDoer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = true
}

func (f *frozenDoer) isFrozen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen
}

// Look implements wire.Ranks.
func (f *frozenDoer) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	if f.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Executor.Look(ctx, r)
}

// Give implements wire.Ranks.
func (f *frozenDoer) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	if f.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Executor.Give(ctx, r)
}

// LookAll implements wire.Ranks.
func (f *frozenDoer) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	if f.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Executor.LookAll(ctx, r)
}

// GiveAll implements wire.Ranks.
func (f *frozenDoer) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	if f.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Executor.GiveAll(ctx, r)
}

// keeperThrough returns a keeper that reaches one rank through another sidecar.
func (b *bench) keeperThrough(f *frozenDoer, at int) *ranks.Coordinator {
	s := b.group.Shape
	b.frozen, b.frozenAt = f, at
	var members []*ranks.Member
	for r, d := range b.doers {
		var doer wire.Ranks = d
		if r == at {
			doer = f
		}
		members = append(members, ranks.NewMember(graniteknot.Rank(r), doer, sidecar(r), b.group.Rank(graniteknot.Rank(r))))
	}
	return ranks.NewCoordinator(ranks.Config{
		Fence: 1, Members: members,
		Engine:  &catalog.Engine{Experts: &catalog.Experts{Sets: s.Layers, Experts: s.Experts, Places: s.Slots, Spare: 2}},
		Planner: &planner.Planner{Shape: s, Threshold: 0.02, Smoothing: 1},
	})
}
