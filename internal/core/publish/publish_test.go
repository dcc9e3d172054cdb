package publish_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/core/publish"
	"graniteknot.org/go/internal/core/spread"
	"graniteknot.org/go/internal/standin/logstore"
	"graniteknot.org/go/internal/wire"
)

const partner = "herbarium"

func newTrust(unsafe bool) (*fold.TrustStore, ed25519.PrivateKey) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	t := &fold.TrustStore{NoVersionCheck: unsafe}
	t.Add(partner, key.Public().(ed25519.PublicKey))
	return t, key
}

// operation is what an operator did.
type operation struct {
	read    bool
	against graniteknot.Offset
}

// result is what it was told; version is of the branch after it.
type result struct {
	fate    fold.Status
	version graniteknot.Offset
}

// register is the model of one branch: a change against the version in force
// is accepted and becomes it, any other is refused, a read gives it.
var register = porcupine.Model{
	Init: func() any { return graniteknot.Offset(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(graniteknot.Offset), input.(operation), output.(result)
		switch {
		case in.read:
			return out.version == now, now
		case out.fate == fold.StatusAccepted:
			return in.against == now, out.version
		}
		return in.against != now, now
	},
}

// session is a random run of two operators against one log.
type session struct {
	log   *logstore.Store
	trust *fold.TrustStore
	key   ed25519.PrivateKey

	mu  sync.Mutex
	ops []porcupine.Operation
	// open holds changes whose operators were not told their fate.
	open map[string]porcupine.Operation
}

// operator publishes and reads; after a time-out it is started again and asks
// with the same id.
func (s *session) operator(n int, random *rand.Rand) {
	for i := range 6 {
		version, ok := s.read(n)
		if !ok {
			continue
		}
		id := fmt.Sprintf("op%d-%d", n, i)
		op := porcupine.Operation{ClientId: n, Input: operation{against: version}, Call: time.Now().UnixNano()}
		answer := publish.Answer{}
		for range 1 + random.IntN(3) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			p := &publish.Publisher{Log: s.log, Trust: s.trust, Partner: partner, Key: s.key}
			text := fmt.Sprintf("[partner]\ndeadline = %ds\n", 1+random.IntN(500))
			answer, _ = p.Publish(ctx, &wire.Change{Id: id, Branch: partner, Against: int64(version), Text: text})
			cancel()
			if answer.Fate != fold.StatusNone {
				break
			}
		}
		s.note(id, op, answer)
		time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
	}
}

func (s *session) note(id string, op porcupine.Operation, a publish.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Fate == fold.StatusNone {
		s.open[id] = op
		return
	}
	op.Output, op.Return = result{fate: a.Fate, version: a.Offset}, time.Now().UnixNano()
	s.ops = append(s.ops, op)
}

// read returns the version in force by the log.
func (s *session) read(n int) (graniteknot.Offset, bool) {
	call := time.Now().UnixNano()
	store := spread.New(s.trust)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := (&spread.Reader{Log: s.log, Store: store}).Read(ctx, time.Now); err != nil {
		time.Sleep(100 * time.Millisecond)
		return 0, false
	}
	version := store.Version(partner)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ops = append(s.ops, porcupine.Operation{
		ClientId: n, Input: operation{read: true}, Call: call, Output: result{version: version}, Return: time.Now().UnixNano(),
	})
	return version, true
}

// weather switches the log's faults, trims it, and writes snapshots.
func (s *session) weather(random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			s.log.Set(logstore.Faults{})
			return
		case <-time.After(time.Duration(random.Int64N(int64(time.Second)))):
		}
		s.log.Set(logstore.Faults{
			Down: random.IntN(4) == 0, LoseAnswers: random.IntN(3), Slow: time.Duration(random.Int64N(int64(200 * time.Millisecond))),
		})
		store := spread.New(s.trust)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if (&spread.Reader{Log: s.log, Store: store}).Read(ctx, time.Now) == nil {
			_, _ = (&spread.Snapshotter{Log: s.log, Store: store, Every: 4}).Run(ctx)
		}
		cancel()
	}
}

// settle finds out from the log what became of the open changes.
func (s *session) settle(t *testing.T) {
	store := spread.New(s.trust)
	fates := map[string]fold.Verdict{}
	store.Watch = func(v fold.Verdict) {
		if _, seen := fates[v.ID]; !seen {
			fates[v.ID] = v
		}
	}
	if err := (&spread.Reader{Log: s.log, Store: store}).Read(context.Background(), time.Now); err != nil {
		t.Fatal(err)
	}
	end := time.Now().UnixNano()
	for id, op := range s.open {
		if v, ok := fates[id]; ok && v.Status == fold.StatusAccepted {
			op.Output, op.Return = result{fate: v.Status, version: v.Offset}, end
			s.ops = append(s.ops, op)
		}
	}
}

// history plays one session and tells whether it is linearizable.
func history(t *testing.T, seed uint64, unsafe bool) (ok bool, open int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		trust, key := newTrust(unsafe)
		s := &session{log: &logstore.Store{}, trust: trust, key: key, open: map[string]porcupine.Operation{}}
		var operators, weather sync.WaitGroup
		stop := make(chan struct{})
		weather.Go(func() { s.weather(rand.New(rand.NewPCG(seed, 0)), stop) })
		for n := range 2 {
			operators.Go(func() { s.operator(n, rand.New(rand.NewPCG(seed, uint64(n+1)))) })
		}
		operators.Wait()
		close(stop)
		weather.Wait()
		s.settle(t)
		ok, open = porcupine.CheckOperations(register, s.ops), len(s.open)
	})
	return ok, open
}

// TestPublishingIsLinearizable plays two operators at once through outages,
// slowness, lost answers and restarts.
func TestPublishingIsLinearizable(t *testing.T) {
	unsettled, histories := 0, uint64(400)
	if testing.Short() {
		histories = 60
	}
	for seed := range histories {
		ok, open := history(t, seed, false)
		unsettled += open
		if !ok {
			t.Fatalf("seed %d: the history is not linearizable", seed)
		}
	}
	t.Logf("%d histories; %d changes whose operator was told \"not accepted yet\"", histories, unsettled)
}

// TestVersionCheckIsNeeded takes the check of versions out.
func TestVersionCheckIsNeeded(t *testing.T) {
	for seed := range uint64(400) {
		if ok, _ := history(t, seed, true); !ok {
			return
		}
	}
	t.Error("400 histories without the version check, and all linearizable")
}
