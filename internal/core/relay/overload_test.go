package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/core/retry"
	"graniteknot.org/go/route"
)

// storm is a run at overload with a tenth of the targets failing.
type storm struct {
	hosts    int
	slots    int
	length   time.Duration
	deadline time.Duration
	overload float64
	budget   *retry.Budget
}

// goodput is what a storm came to.
type goodput struct {
	sent, answered, dispatches int
	// share is the answers over what the healthy targets can serve.
	share float64
}

// serviceTime is how long fakeTarget takes.
const serviceTime = answerPieces * 10 * time.Millisecond

func (s storm) run(t *testing.T) goodput {
	t.Helper()
	var out goodput
	var hosts []graniteknot.Address
	for i := range s.hosts {
		hosts = append(hosts, graniteknot.Address(fmt.Sprintf("127.0.0.1:%d", i+1)))
	}
	tree := treeFor(t, hosts, s.deadline)
	synctest.Test(t, func(*testing.T) {
		net := newNetwork(1, tree, hosts, faults{})
		net.failing = map[graniteknot.Address]bool{hosts[0]: true}
		for _, h := range net.hosts {
			h.agent.Queue.Slots = s.slots
		}
		table := &route.Table{Policy: route.LeastLatency{}, Rand: rand.New(rand.NewPCG(1, 2))}
		table.SetTargets(hosts, time.Now())
		r := &relay.Relay{Agents: net, RouteTables: entryView{table}, Budget: s.budget}
		account, _ := tree.AccountByKey("desk")
		service, _ := tree.Service("p", "wire")
		random := rand.New(rand.NewPCG(3, 4))
		capacity := float64((s.hosts-1)*s.slots) / serviceTime.Seconds()
		var wait sync.WaitGroup
		var mu sync.Mutex
		begun := time.Now()
		for n := 0; time.Since(begun) < s.length; n++ {
			wait.Go(func() {
				now := time.Now()
				result := r.Do(context.Background(), &relay.Request{
					ID: graniteknot.RequestID(fmt.Sprint(n)), Account: account, Service: service,
					Body: fmt.Append(nil, n), Repeatable: true, Deadline: now.Add(s.deadline),
				}, func(graniteknot.Piece) error { return nil })
				mu.Lock()
				defer mu.Unlock()
				out.sent++
				if result.Outcome == graniteknot.OutcomeAnswered {
					out.answered++
				}
			})
			time.Sleep(time.Duration(random.ExpFloat64() / (capacity * s.overload) * float64(time.Second)))
		}
		wait.Wait()
		out.dispatches = int(r.Stats().Attempts)
		// What arrived last is served after the end.
		out.share = float64(out.answered) / (capacity * (s.length + s.deadline).Seconds())
		net.stopAll()
		net.wait.Wait()
	})
	return out
}

// TestGoodputInARetryStorm: at twice the capacity, with a tenth of the targets
// failing, a bounded share of retries keeps nine tenths of the capacity.
func TestGoodputInARetryStorm(t *testing.T) {
	base := storm{hosts: 10, slots: 4, length: 5 * time.Second, deadline: 500 * time.Millisecond, overload: 2}
	ours, unbounded := base, base
	ours.budget = &retry.Budget{Percent: func() int64 { return 10 }}
	unbounded.budget = &retry.Budget{Unlimited: true}
	a, b := ours.run(t), unbounded.run(t)
	t.Logf("budget of 10%%: %.1f%% of capacity, %d dispatches for %d requests", 100*a.share, a.dispatches, a.sent)
	t.Logf("no budget:     %.1f%% of capacity, %d dispatches for %d requests", 100*b.share, b.dispatches, b.sent)
	if a.share < 0.9 {
		t.Errorf("goodput %.3f of capacity", a.share)
	}
	if a.dispatches > a.sent*112/100+100 {
		t.Errorf("%d dispatches for %d requests", a.dispatches, a.sent)
	}
}
