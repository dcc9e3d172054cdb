package ranks_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

// lateShares says how many calls are late.
type lateShares struct {
	// callShare and answerShare are the fractions of calls that are carried out late and
	// answered late, by up to the maximum.
	callShare, answerShare float64
	maxCall, maxAnswer     time.Duration
}

// lateness draws how late a call is carried out and how much later it is answered.
type lateness struct {
	lateShares

	mu      sync.Mutex
	random  *rand.Rand
	running group.Group
}

func newLateness(s lateShares, seed uint64) *lateness {
	return &lateness{lateShares: s, random: rand.New(rand.NewPCG(seed, 11))}
}

func (l *lateness) draw() (call, answer time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() < l.callShare {
		call = time.Duration(l.random.Int64N(int64(l.maxCall)))
	}
	if l.random.Float64() < l.answerShare {
		answer = time.Duration(l.random.Int64N(int64(l.maxAnswer)))
	}
	return call, answer
}

// callLate makes a call, perhaps late, and answers it, perhaps later. A caller that has gone meanwhile
// does not keep the call from being carried out.
func callLate[R any](ctx context.Context, l *lateness, call func(context.Context) (R, error)) (R, error) {
	type answer struct {
		reply R
		err   error
	}
	before, after := l.draw()
	answered := make(chan answer, 1)
	l.running.Go(func(running context.Context) {
		time.Sleep(before)
		reply, err := call(running)
		time.Sleep(after)
		answered <- answer{reply, err}
	})
	select {
	case a := <-answered:
		return a.reply, a.err
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

// latePeer is a client for a rank's sidecar whose calls may be late.
type latePeer struct {
	wire.Ranks
	lateness *lateness
	sidecar  func() wire.Ranks
}

// Look implements wire.Ranks.
func (p *latePeer) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	return callLate(ctx, p.lateness, func(ctx context.Context) (*wire.LookReply, error) { return p.sidecar().Look(ctx, r) })
}

// LookAll implements wire.Ranks.
func (p *latePeer) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	return callLate(ctx, p.lateness, func(ctx context.Context) (*wire.LookAllReply, error) { return p.sidecar().LookAll(ctx, r) })
}

// Give implements wire.Ranks.
func (p *latePeer) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	return callLate(ctx, p.lateness, func(ctx context.Context) (*wire.GiveReply, error) { return p.sidecar().Give(ctx, r) })
}

// GiveAll implements wire.Ranks.
func (p *latePeer) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	return callLate(ctx, p.lateness, func(ctx context.Context) (*wire.GiveAllReply, error) { return p.sidecar().GiveAll(ctx, r) })
}

// Sum implements wire.Ranks.
func (p *latePeer) Sum(ctx context.Context, r *wire.SumRequest) (*wire.SumReply, error) {
	return callLate(ctx, p.lateness, func(ctx context.Context) (*wire.SumReply, error) { return p.sidecar().Sum(ctx, r) })
}

// lateRank is a rank whose own calls may be late.
type lateRank struct {
	held.Rank
	lateness *lateness
}

// Report implements held.Rank.
func (r *lateRank) Report(ctx context.Context) (held.Report, error) {
	return callLate(ctx, r.lateness, r.Rank.Report)
}

// Order implements held.Rank.
func (r *lateRank) Order(ctx context.Context, c *held.Command) (held.Result, error) {
	return callLate(ctx, r.lateness, func(running context.Context) (held.Result, error) { return r.Rank.Order(running, c) })
}

// useLateCalls makes calls between sidecars late by one lateness, those to ranks by another.
func (f *fixture) useLateCalls(peers, local *lateness) {
	f.peers = peers
	f.local = local
	for r, e := range f.executors {
		e.Rank = f.rank(graniteknot.Rank(r))
	}
}

// rank returns a client for a rank.
func (f *fixture) rank(r graniteknot.Rank) held.Rank {
	if f.local == nil {
		return f.group.Rank(r)
	}
	return &lateRank{Rank: f.group.Rank(r), lateness: f.local}
}

// restartSidecar replaces a rank's sidecar by one that remembers nothing.
func (f *fixture) restartSidecar(r int) {
	next := &ranks.Executor{Rank: f.rank(graniteknot.Rank(r)), PeerClient: f.sidecarClient}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executors[r] = next
}
