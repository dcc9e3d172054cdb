package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/relay"
	"graniteknot.org/go/internal/core/retry"
	"graniteknot.org/go/internal/core/ticket"
	"graniteknot.org/go/internal/stream"
	"graniteknot.org/go/route"
	"graniteknot.org/go/settings"
)

// keyMode is how a request that may not be repeated names its authority.
type keyMode int

const (
	modeNoKey keyMode = iota
	modeTicket
	modePlainKey
	modeTimedKey
	modeRepeatable
	keyModes
)

// plan is one random run.
type plan struct {
	seed uint64
	// requests is how many there are, each sent by up to three tries.
	requests int
	kills    int
	pauses   int
	faults   faults
}

// told is what one try ended in.
type told struct {
	request   int
	mode      keyMode
	body      string
	call, end time.Time
	outcome   graniteknot.Outcome
	text      string
	code      relay.Code
}

// history is what a run left behind.
type history struct {
	told []told
	runs map[string]*runRecord
}

var testHosts = []graniteknot.Address{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}

func testTree(t testing.TB) *settings.Tree { return treeFor(t, testHosts, 4*time.Second) }

func treeFor(t testing.TB, hosts []graniteknot.Address, deadline time.Duration) *settings.Tree {
	t.Helper()
	var list []string
	for _, h := range hosts {
		list = append(list, string(h))
	}
	at := strings.Join(list, ", ")
	text := fmt.Sprintf("[service wire]\nkind = plain\nrepeatable = no\ndeadline = %s\ntargets = %s\nclaims_at = %s\n"+
		"[account desk]\nkey_sha256 = %s\n", deadline, at, at, settings.HashKey("desk"))
	patch, err := settings.ParsePatch("test", "p", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	tree, err := (&settings.Tree{}).Apply(patch)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// entryView is one entry's own knowledge of the targets.
type entryView struct{ table *route.Table }

func (v entryView) Table(*settings.ServiceView) *route.Table { return v.table }

// play runs a plan in virtual time.
func play(t *testing.T, p plan) *history {
	t.Helper()
	h := &history{}
	tree := testTree(t)
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(p.seed, tree, testHosts, p.faults)
		random := rand.New(rand.NewPCG(p.seed, 1))
		entries := newEntries(net, p)
		var wait sync.WaitGroup
		var mu sync.Mutex
		for i := range p.requests {
			begin := time.Duration(random.Int64N(int64(8 * time.Second)))
			spec := newSpec(t, i, random)
			wait.Go(func() {
				time.Sleep(begin)
				spec.send(entries, func(x told) {
					mu.Lock()
					defer mu.Unlock()
					h.told = append(h.told, x)
				})
			})
		}
		breakThings(net, p, random)
		wait.Wait()
		// Whatever is still on its way arrives before the runs are read.
		time.Sleep(2 * time.Minute)
		net.stopAll()
		synctest.Wait()
		h.runs = net.runs
	})
	return h
}

func breakThings(net *network, p plan, random *rand.Rand) {
	for range p.kills {
		at := time.Duration(random.Int64N(int64(10 * time.Second)))
		back := time.Duration(random.Int64N(int64(5 * time.Second)))
		host := testHosts[random.IntN(len(testHosts))]
		time.AfterFunc(at, func() { net.kill(host, back) })
	}
	for range p.pauses {
		at := time.Duration(random.Int64N(int64(10 * time.Second)))
		length := time.Duration(random.Int64N(int64(time.Minute)))
		host := testHosts[random.IntN(len(testHosts))]
		time.AfterFunc(at, func() { net.pause(host, length) })
	}
}

func newEntries(net *network, p plan) []*relay.Relay {
	out := make([]*relay.Relay, 2)
	for i := range out {
		table := &route.Table{Policy: route.LeastLatency{}, Rand: rand.New(rand.NewPCG(p.seed, uint64(10+i)))}
		table.SetTargets(testHosts, time.Now())
		out[i] = &relay.Relay{
			Agents: net, RouteTables: entryView{table}, Counts: &stream.Counts{},
			Budget: &retry.Budget{Percent: func() int64 { return 100 }},
		}
	}
	return out
}

// spec is one request as its caller means it.
type spec struct {
	number  int
	mode    keyMode
	key     graniteknot.Key
	body    string
	tree    *settings.Tree
	tries   int
	pauses  []time.Duration
	atOnce  bool
	entries []int
	// deaths holds, for each try, when its entry dies in the middle of it; 0
	// for never.
	deaths []time.Duration
}

func newSpec(t *testing.T, number int, random *rand.Rand) *spec {
	s := &spec{
		number: number, mode: keyMode(random.IntN(int(keyModes))), tree: testTree(t),
		body: fmt.Sprintf("body-%d", number), tries: 1 + random.IntN(3), atOnce: random.IntN(2) == 0,
	}
	if s.mode == modeNoKey || s.mode == modeRepeatable {
		s.tries = 1
	}
	for range s.tries {
		s.pauses = append(s.pauses, time.Duration(random.Int64N(int64(2*time.Second))))
		s.entries = append(s.entries, random.IntN(2))
		death := time.Duration(0)
		if random.IntN(5) == 0 {
			death = time.Duration(random.Int64N(int64(500 * time.Millisecond)))
		}
		s.deaths = append(s.deaths, death)
	}
	return s
}

// send makes the tries of a request, in turn or at once.
func (s *spec) send(entries []*relay.Relay, note func(told)) {
	s.key = s.newKey(entries[0])
	var wait sync.WaitGroup
	for i := range s.tries {
		one := func() { note(s.try(entries[s.entries[i]], s.deaths[i])) }
		if s.atOnce {
			wait.Go(one)
			continue
		}
		one()
		time.Sleep(s.pauses[i])
	}
	wait.Wait()
}

func (s *spec) newKey(r *relay.Relay) graniteknot.Key {
	now := time.Now()
	switch s.mode {
	case modeTicket:
		service, _ := s.tree.Service("p", "wire")
		choice, ok := r.ChooseAuthority(context.Background(), service, &route.Query{Now: now})
		if !ok || choice.Incarnation == 0 {
			return graniteknot.Key(fmt.Sprintf("plain-%d", s.number))
		}
		ticket := ticket.Ticket{Service: "wire", Address: choice.Address, Incarnation: choice.Incarnation, Issued: now.UnixMilli()}
		return graniteknot.Key(ticket.Prefix() + fmt.Sprint(s.number))
	case modePlainKey:
		return graniteknot.Key(fmt.Sprintf("plain-%d", s.number))
	case modeTimedKey:
		ms := now.UnixMilli()
		return graniteknot.Key(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, s.number))
	case modeNoKey, modeRepeatable, keyModes:
	}
	return ""
}

// try makes one try at an entry, which may die in the middle of it: then its
// caller is told nothing, and nothing more comes from it.
func (s *spec) try(r *relay.Relay, death time.Duration) told {
	if death == 0 {
		return s.tryAt(r)
	}
	mortal := &mortalAgents{AgentClient: r.Agents, dies: time.Now().Add(death)}
	dying := &relay.Relay{
		Agents: mortal, RouteTables: r.RouteTables, Counts: r.Counts, Budget: r.Budget,
	}
	x := s.tryAt(dying)
	if time.Now().After(mortal.dies) {
		x.outcome = graniteknot.OutcomeUnknown
	}
	return x
}

func (s *spec) tryAt(r *relay.Relay) told {
	account, _ := s.tree.AccountByKey("desk")
	service, _ := s.tree.Service("p", "wire")
	now := time.Now()
	request := &relay.Request{
		ID: graniteknot.RequestID(fmt.Sprintf("r%d-%d", s.number, now.UnixNano())), Account: account, Service: service,
		Body: []byte(s.body), Try: 1, Deadline: now.Add(service.Deadline), Key: s.key,
		Repeatable: s.mode == modeRepeatable,
	}
	if s.mode == modeTimedKey {
		request.KeyTime = timeIn(string(s.key))
	}
	request.Ticket, _ = ticket.In(s.key)
	var text strings.Builder
	result := r.Do(context.Background(), request, func(p graniteknot.Piece) error {
		text.Write(p.Data)
		return nil
	})
	return told{
		request: s.number, mode: s.mode, body: s.body, call: now, end: time.Now(),
		outcome: result.Outcome, text: text.String(), code: result.Code,
	}
}

func timeIn(key string) time.Time {
	var high, low int64
	_, _ = fmt.Sscanf(key, "%08x-%04x", &high, &low)
	return time.UnixMilli(high<<16 | low)
}
