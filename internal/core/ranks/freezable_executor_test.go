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

// freezableExecutor is a sidecar that can be made to stop answering.
type freezableExecutor struct {
	*ranks.Executor

	mu     sync.Mutex
	frozen bool
}

func (f *freezableExecutor) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = true
}

func (f *freezableExecutor) isFrozen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen
}

// Look implements wire.Ranks.
func (f *freezableExecutor) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	if f.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Executor.Look(ctx, r)
}

// Give implements wire.Ranks.
func (f *freezableExecutor) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	if f.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Executor.Give(ctx, r)
}

// LookAll implements wire.Ranks.
func (f *freezableExecutor) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	if f.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Executor.LookAll(ctx, r)
}

// GiveAll implements wire.Ranks.
func (f *freezableExecutor) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	if f.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Executor.GiveAll(ctx, r)
}

// coordinatorWith returns a coordinator that calls the given executor for one rank.
func (f *fixture) coordinatorWith(executor *freezableExecutor, rank int) *ranks.Coordinator {
	s := f.group.Shape
	f.freezable, f.freezableRank = executor, rank
	var members []*ranks.Member
	for r, local := range f.executors {
		var client wire.Ranks = local
		if r == rank {
			client = executor
		}
		members = append(members, ranks.NewMember(graniteknot.Rank(r), client, sidecarAddress(r), f.group.Rank(graniteknot.Rank(r))))
	}
	return ranks.NewCoordinator(ranks.Config{
		Fence: 1, Members: members,
		Engine:  &catalog.Engine{Experts: &catalog.Experts{Sets: s.Layers, Experts: s.Experts, Places: s.Slots, Spare: 2}},
		Planner: &planner.Planner{Shape: s, MinMoveGain: 0.02, Smoothing: 1},
	})
}
