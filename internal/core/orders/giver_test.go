package orders_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/orders"
)

// slowTarget takes orders that may arrive late, and does not check fences
// unless told to.
type slowTarget struct {
	mu      sync.Mutex
	checks  bool
	fence   graniteknot.Fence
	has     string
	delay   time.Duration
	lose    int
	running int
	// busy tells that an order arrived while work ran.
	busy bool
}

var errLost = errors.New("lost")

// Order implements graniteknot.OrderTaker.
func (s *slowTarget) Order(ctx context.Context, o graniteknot.Order) error {
	delay := s.get().delay
	if delay > 0 {
		// On its way it does not care whether its sender still lives.
		time.AfterFunc(delay, func() { s.arrive(o) })
		<-ctx.Done()
		return ctx.Err()
	}
	s.arrive(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose > 0 {
		s.lose--
		return errLost
	}
	return nil
}

// seen is what a test reads of a target.
type seen struct {
	delay time.Duration
	has   string
	busy  bool
	fence graniteknot.Fence
}

func (s *slowTarget) get() seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return seen{delay: s.delay, has: s.has, busy: s.busy, fence: s.fence}
}

// set changes a target under its lock.
func (s *slowTarget) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *slowTarget) arrive(o graniteknot.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = s.busy || s.running > 0
	if s.checks && o.Fence.Less(s.fence) {
		return
	}
	s.fence, s.has = o.Fence, o.Name
}

// Hold implements orders.Queue.
func (s *slowTarget) Hold(bool) {}

// Running implements orders.Queue.
func (s *slowTarget) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// replaced plays an agent that dies with an order on its way, and its successor
// that wants another version at once.
func replaced(t *testing.T, checks, noWait bool) string {
	t.Helper()
	var has string
	synctest.Test(t, func(t *testing.T) {
		target := &slowTarget{checks: checks, delay: 20 * time.Second}
		birth := graniteknot.NewIncarnation(time.Now().Add(-time.Hour))
		former := &orders.Giver{Target: target, Queue: target, Incarnation: birth}
		ctx, die := context.WithTimeout(context.Background(), time.Second)
		defer die()
		_ = former.Want(ctx, graniteknot.OrderLoad, "old")
		target.set(func() { target.delay = 0 })
		next := &orders.Giver{
			Target: target, Queue: target, Incarnation: graniteknot.NewIncarnation(time.Now()), NoWait: noWait,
			Checks: func() bool { return checks },
		}
		if err := next.Want(context.Background(), graniteknot.OrderLoad, "new"); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
		has = target.get().has
	})
	return has
}

// TestOrderOfADeadAgentDoesNotWin: whether the target checks fences or not.
func TestOrderOfADeadAgentDoesNotWin(t *testing.T) {
	for _, checks := range []bool{true, false} {
		if has := replaced(t, checks, false); has != "new" {
			t.Errorf("target that checks fences %v has %q", checks, has)
		}
	}
	if has := replaced(t, false, true); has != "old" {
		t.Error("without the wait the late order has to win, or this test shows nothing")
	}
}

// TestOrderWaitsForTheWork: nothing runs while an order takes effect, an order
// that was lost is given again, and one that took effect is not.
func TestOrderWaitsForTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &slowTarget{running: 1, lose: 2}
		g := &orders.Giver{Target: target, Queue: target, Incarnation: graniteknot.NewIncarnation(time.Now().Add(-time.Hour))}
		time.AfterFunc(3*time.Second, func() { target.set(func() { target.running = 0 }) })
		for range 2 {
			if err := g.Want(context.Background(), graniteknot.OrderLoad, "v2"); err != nil {
				t.Fatal(err)
			}
		}
		if got := target.get(); got.busy || got.has != "v2" || got.fence.Sequence != 3 {
			t.Errorf("%+v", got)
		}
	})
}

// TestFailedOrderDoesNotWin: an order that failed and arrives late does not
// undo the one of another content that came after it.
func TestFailedOrderDoesNotWin(t *testing.T) {
	for _, noWait := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			target := &slowTarget{delay: 20 * time.Second}
			g := &orders.Giver{
				Target: target, Queue: target, NoWait: noWait, Incarnation: graniteknot.NewIncarnation(time.Now().Add(-time.Hour)),
			}
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			_ = g.Want(ctx, graniteknot.OrderLoad, "first")
			target.set(func() { target.delay = 0 })
			if err := g.Want(context.Background(), graniteknot.OrderLoad, "second"); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Minute)
			if want := map[bool]string{false: "second", true: "first"}[noWait]; target.get().has != want {
				t.Errorf("without waits %v: %q", noWait, target.get().has)
			}
		})
	}
}

// TestWaitEndsOnceTheTargetChecksFences has settings come into force, while an order waits out a former
// agent, by which the target checks fences.
func TestWaitEndsOnceTheTargetChecksFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &slowTarget{checks: true}
		began := time.Now()
		g := &orders.Giver{
			Target: target, Queue: target, Incarnation: graniteknot.NewIncarnation(began),
			Checks: func() bool { return time.Since(began) > time.Second },
		}
		if err := g.Want(context.Background(), graniteknot.OrderLoad, "v2"); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the order was given after %v", took)
		}
	})
}
