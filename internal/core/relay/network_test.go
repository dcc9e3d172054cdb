package relay_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
	"graniteknot.org/go/internal/core/fairq"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/core/serve"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

var errLost = errors.New("connection lost")

// faults are the chances of what the network does, each from 0 to 1.
type faults struct {
	// lose drops a message, late delays it by seconds, double delivers it
	// twice.
	lose, late, double float64
	// cut ends a stream after some of its chunks; shuffle delays single chunks;
	// foreign slips in a chunk of another attempt.
	cut, shuffle, foreign float64
}

// network carries messages between relays and agents in virtual time.
type network struct {
	tree   *settings.Tree
	faults faults
	// failing hosts end all work with an error.
	failing map[graniteknot.Address]bool

	wait   sync.WaitGroup
	mu     sync.Mutex
	random *rand.Rand
	hosts  map[graniteknot.Address]*host
	// seen keeps chunks of all attempts, to slip into other streams.
	seen []*wire.Chunk
	runs map[string]*runRecord
}

// host is one target box: its agent's present life.
type host struct {
	agent *serve.Agent
	up    bool
	// paused delays every message until then.
	paused time.Time
}

// runRecord is what truly happened to one body.
type runRecord struct {
	starts []time.Time
}

func newNetwork(seed uint64, tree *settings.Tree, hosts []graniteknot.Address, f faults) *network {
	n := &network{
		tree: tree, faults: f, random: rand.New(rand.NewPCG(seed, seed)),
		hosts: map[graniteknot.Address]*host{}, runs: map[string]*runRecord{},
	}
	for _, a := range hosts {
		n.hosts[a] = &host{up: true, agent: n.newAgent(a, time.Now().Add(-time.Hour))}
	}
	return n
}

func (n *network) newAgent(a graniteknot.Address, birth time.Time) *serve.Agent {
	incarnation := graniteknot.NewIncarnation(birth)
	return &serve.Agent{
		Address: a, Incarnation: incarnation, Target: &fakeTarget{network: n, address: a},
		Claims: &claim.Table{Incarnation: incarnation},
		Queue:  &fairq.Queue{Slots: 2},
		Tree:   func() *settings.Tree { return n.tree },
	}
}

// kill ends a host's agent with all it knows; a new one comes back later.
func (n *network) kill(a graniteknot.Address, back time.Duration) {
	n.mu.Lock()
	h := n.hosts[a]
	old := h.agent
	wasUp := h.up
	h.up = false
	n.mu.Unlock()
	if !wasUp {
		return
	}
	stop(old)
	time.AfterFunc(back, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		h.agent = n.newAgent(a, time.Now())
		h.up = true
	})
}

func stop(a *serve.Agent) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.Drain(ctx)
}

// stopAll ends the agents of all hosts.
func (n *network) stopAll() {
	n.mu.Lock()
	var agents []*serve.Agent
	for _, h := range n.hosts {
		agents = append(agents, h.agent)
	}
	n.mu.Unlock()
	for _, a := range agents {
		stop(a)
	}
}

func (n *network) pause(a graniteknot.Address, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[a].paused = time.Now().Add(d)
}

func (n *network) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < p
}

func (n *network) between(low, high time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return low + time.Duration(n.random.Int64N(int64(high-low)))
}

// trip is how long one message takes.
func (n *network) trip() time.Duration {
	if n.chance(n.faults.late) {
		return n.between(time.Second, 8*time.Second)
	}
	return n.between(time.Millisecond, 4*time.Millisecond)
}

// arrive waits for a message's trip and the host's pause; nil when the host is
// down by then.
func (n *network) arrive(a graniteknot.Address) *serve.Agent {
	time.Sleep(n.trip())
	n.mu.Lock()
	h := n.hosts[a]
	paused := time.Until(h.paused)
	n.mu.Unlock()
	time.Sleep(max(0, paused))
	n.mu.Lock()
	defer n.mu.Unlock()
	if !h.up {
		return nil
	}
	return h.agent
}

func (n *network) reachable(a graniteknot.Address) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[a].up
}

// Dispatch implements relay.Agents.
func (n *network) Dispatch(ctx context.Context, a graniteknot.Address, d *wire.Dispatch) (relay.ChunkReader, error) {
	if !n.reachable(a) {
		return nil, fmt.Errorf("refused: %w", graniteknot.ErrNotHandedOver)
	}
	s := &fakeStream{network: n, ctx: ctx, chunks: make(chan *wire.Chunk, 4096), broken: make(chan struct{})}
	if n.chance(n.faults.cut) {
		s.cutAfter = 1 + int(n.between(0, 12))
	}
	copies := 1
	if n.chance(n.faults.double) {
		copies = 2
	}
	if n.chance(n.faults.lose) {
		copies--
		s.breakLater(time.Second)
	}
	for i := range copies {
		d := proto.Clone(d).(*wire.Dispatch)
		n.wait.Go(func() { n.deliver(a, d, s, i == 0) })
	}
	return s, nil
}

// deliver brings one copy of a dispatch to its host. Only the first copy's
// answer goes back.
func (n *network) deliver(a graniteknot.Address, d *wire.Dispatch, s *fakeStream, first bool) {
	agent := n.arrive(a)
	if agent == nil {
		s.breakNow()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if first {
		context.AfterFunc(s.ctx, cancel)
	}
	err := agent.Dispatch(ctx, d, func(c *wire.Chunk) error {
		if !first {
			return nil
		}
		return s.send(proto.Clone(c).(*wire.Chunk))
	})
	if err != nil || !n.reachable(a) {
		s.breakLater(10 * time.Millisecond)
	}
}

// Withdraw implements relay.Agents.
func (n *network) Withdraw(ctx context.Context, a graniteknot.Address, r *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	if n.chance(n.faults.double) {
		n.wait.Go(func() {
			if agent := n.arrive(a); agent != nil {
				agent.Withdraw(r)
			}
		})
	}
	if !n.reachable(a) || n.chance(n.faults.lose) {
		return nil, errLost
	}
	answer := make(chan *wire.WithdrawReply, 1)
	n.wait.Go(func() {
		if agent := n.arrive(a); agent != nil {
			reply := agent.Withdraw(r)
			time.Sleep(n.trip())
			answer <- reply
		}
	})
	select {
	case reply := <-answer:
		if n.chance(n.faults.lose) {
			return nil, errLost
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Report implements relay.Agents.
func (n *network) Report(_ context.Context, a graniteknot.Address) (*wire.Load, error) {
	if !n.reachable(a) || n.chance(n.faults.lose) {
		return nil, errLost
	}
	agent := n.arrive(a)
	if agent == nil {
		return nil, errLost
	}
	return agent.Report(), nil
}
