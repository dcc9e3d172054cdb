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
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/core/retry"
	"graniteknot.org/go/route"
)

// mortal is a target that ends under one body, and is back at once.
type mortal struct {
	*fakeTarget

	mu    sync.Mutex
	ended bool
}

const deadly = "ends targets"

func (m *mortal) Run(ctx context.Context, work graniteknot.Work, emit graniteknot.Emit) error {
	if string(work.Body) != deadly {
		return m.fakeTarget.Run(ctx, work, emit)
	}
	m.network.mu.Lock()
	m.network.runs[deadly].starts = append(m.network.runs[deadly].starts, time.Now())
	m.network.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	return errLost
}

func (m *mortal) Ended(context.Context) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := m.ended
	m.ended = false
	return ended
}

// TestRequestThatEndsTargets goes to two of them, in one try or in several, with a key of
// its own each; eight targets ended a try where only attempts were counted.
func TestRequestThatEndsTargets(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) { endsTargets(t, repeatable) })
	}
}

func endsTargets(t *testing.T, repeatable bool) {
	var hosts []graniteknot.Address
	for i := range 12 {
		hosts = append(hosts, graniteknot.Address(fmt.Sprintf("127.0.0.1:%d", i+1)))
	}
	tree := treeFor(t, hosts, 20*time.Second)
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1, tree, hosts, faults{})
		net.runs[deadly] = &runRecord{}
		for a, h := range net.hosts {
			h.agent.Target = &mortal{fakeTarget: &fakeTarget{network: net, address: a}}
		}
		table := &route.Table{Policy: route.LeastLatency{}, Rand: rand.New(rand.NewPCG(1, 2))}
		table.SetTargets(hosts, time.Now())
		budget := &retry.Budget{Unlimited: true}
		r := &relay.Relay{Agents: net, RouteTables: entryView{table}, Budget: budget, Quarantine: &quarantine.Table{}}
		account, _ := tree.AccountByKey("desk")
		service, _ := tree.Service("p", "wire")
		ask := func(id, body string) relay.Result {
			return r.Do(context.Background(), &relay.Request{
				ID: graniteknot.RequestID(id), Account: account, Service: service, Body: []byte(body),
				Repeatable: repeatable, Deadline: time.Now().Add(20 * time.Second),
			}, func(graniteknot.Piece) error { return nil })
		}
		var last relay.Result
		for i := range 5 {
			last = ask(fmt.Sprint("d", i), deadly)
			time.Sleep(3 * time.Second)
		}
		if n := len(net.runs[deadly].starts); n != 2 {
			t.Errorf("%d targets ended under one request", n)
		}
		if last.Outcome != graniteknot.OutcomeNotRun || last.Code != relay.CodeEndsTargets {
			t.Errorf("the last try: %+v", last)
		}
		if got := ask("h", "harmless"); got.Outcome != graniteknot.OutcomeAnswered {
			t.Errorf("another request: %+v", got)
		}
		for _, h := range net.hosts {
			h.agent.Drain(context.Background())
		}
		net.wait.Wait()
	})
}
