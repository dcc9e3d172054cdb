package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// The engines of played pools, as stated by a deployment of 72 in groups of 24.
var playedEngine = &catalog.Service{Name: "s", Engine: &catalog.Engine{
	Slots: 10, Step: 4550 * time.Microsecond, PerWriter: 1090 * time.Microsecond, Stride: 5, Chunk: 512, ReadRate: 61_400,
	Usual:   catalog.Size{Prompt: 868, Answer: 97},
	Experts: &catalog.Experts{Sets: 16, Experts: 96, Places: 5, Fraction: 0.85, Form: 600 * time.Millisecond},
}}

const (
	playedAim  = 500 * time.Millisecond
	playedGap  = 150 * time.Millisecond
	playedLeft = 2 * time.Second
	// reportPeriod and reportAge are those of reports through relays.
	reportPeriod = 240 * time.Millisecond
	reportAge    = 150 * time.Millisecond
)

// pool is groups of engines, gateways before them and callers, in virtual time. The
// gateways' decisions are the product's, all else is played.
type pool struct {
	t        *testing.T
	ctx      context.Context
	gateways []*fleet.Table
	groups   []*playedGroup
	// skew is that of all groups at a time since the begin, closed until opens.
	skew  func(time.Duration) float64
	opens time.Duration
	begun time.Time

	mu      sync.Mutex
	result  outcome
	callers sync.WaitGroup
}

// outcome is what callers got.
type outcome struct {
	asked, inTime, late, lost int
	// held were refused after they had waited for over 50 ms.
	held int
	// byWait, byFirst and byPause are why answers of first tries were late: the wait for
	// room by itself, that and the first event, or a pause alone.
	byWait, byFirst, byPause int
	// longPasses are those that took longer than the longest useful pause, of all.
	longPasses, passes int
}

// newPool returns one of so many gateways before groups of ranks.
func newPool(t *testing.T, gateways, groups, ranks int) *pool {
	t.Helper()
	p := &pool{t: t, ctx: t.Context(), begun: time.Now()}
	for range gateways {
		table := &fleet.Table{}
		table.SetGateways(gateways)
		p.gateways = append(p.gateways, table)
	}
	for g := range groups {
		group := &playedGroup{name: fmt.Sprint("g", g)}
		for r := range ranks {
			id := fmt.Sprintf("%d-%d", g, r)
			x := &playedRank{replica: catalog.Replica{ID: catalog.ReplicaID(id), Service: "s", Address: graniteknot.Address(id), Group: group.name}}
			group.ranks = append(group.ranks, x)
			for _, table := range p.gateways {
				table.Put(x.replica, p.begun)
			}
		}
		p.groups = append(p.groups, group)
	}
	return p
}

// run plays the groups and their reports for a time, and waits for all callers.
func (p *pool) run(length time.Duration) outcome {
	ctx, cancel := context.WithCancel(p.ctx)
	var world sync.WaitGroup
	for _, g := range p.groups {
		world.Go(func() { p.passes(ctx, g) })
		world.Go(func() { p.reports(ctx, g) })
	}
	time.Sleep(length)
	p.callers.Wait()
	cancel()
	world.Wait()
	return p.result
}

func (p *pool) open() bool { return time.Since(p.begun) >= p.opens }

// reports tells all gateways how busy the ranks were a moment ago.
func (p *pool) reports(ctx context.Context, g *playedGroup) {
	number := uint64(0)
	for ctx.Err() == nil {
		number++
		taken := time.Now()
		g.mu.Lock()
		pass := g.pass
		g.mu.Unlock()
		var loads []fleet.Load
		for _, r := range g.ranks {
			l := fleet.Load{Taken: taken, GroupDown: !p.open(), Pass: pass}
			r.mu.Lock()
			l.Running = min(len(r.running), playedEngine.Engine.Slots)
			l.Waiting = len(r.running) - l.Running
			r.mu.Unlock()
			if p.open() && time.Since(p.begun) > p.opens+450*time.Millisecond {
				l.Forecast = fleet.Forecast{Skew: p.skew(time.Since(p.begun)), Number: number}
			}
			loads = append(loads, l)
		}
		time.Sleep(reportAge)
		for i, r := range g.ranks {
			for _, table := range p.gateways {
				table.Report(r.replica.Address, loads[i])
			}
		}
		time.Sleep(reportPeriod - reportAge)
	}
}
