package presence_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/watch"
)

const (
	// A topic takes appends one after the other, each in appendTime, and refuses those that would
	// wait for more than longestWait.
	appendTime  = 2 * time.Millisecond
	longestWait = 2 * time.Second
	// firstDelay is the mean delay after the first refusal.
	firstDelay = 400 * time.Millisecond
)

// busyStore takes appends one after the other. Its other calls are not used.
type busyStore struct {
	graniteknot.KeyedStore

	mu   sync.Mutex
	free time.Time
	// calls counts all appends, written those that were not refused.
	calls, written int
}

func (s *busyStore) Append(ctx context.Context, _ graniteknot.Topic, _ graniteknot.KeyedRecord) (graniteknot.Position, error) {
	wait, ok := s.enqueue()
	if !ok {
		return 0, graniteknot.ErrNotDone
	}
	select {
	case <-time.After(wait):
		return 1, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (s *busyStore) enqueue() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	if s.free.Sub(now) > longestWait {
		return 0, false
	}
	s.written++
	s.free = s.free.Add(appendTime)
	return s.free.Sub(now), true
}

// TestRegistrationsOfManyProcesses starts more processes at once than the store has room for. The
// refused ones wait twice as long each time, so that all are registered with a number of calls
// each that grows with the logarithm of the time that the writes take.
func TestRegistrationsOfManyProcesses(t *testing.T) {
	for _, n := range []int{300, 1047, 4000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &busyStore{}
				var all sync.WaitGroup
				for i := range n {
					r := &presence.Registrar{Store: store, View: &presence.View{}, Health: &watch.Health{}, Self: presence.Member{Box: graniteknot.BoxName(fmt.Sprint(i))}}
					all.Go(func() { r.Register(context.Background()) })
				}
				all.Wait()
				beyond := max(0, time.Duration(n)*appendTime-longestWait)
				most := float64(n) * (1 + math.Log2(1+beyond.Seconds()/firstDelay.Seconds()))
				if float64(store.calls) > most+1 || store.written != n {
					t.Errorf("%d processes: %d calls, %d written; %.0f calls may be", n, store.calls, store.written, most)
				}
				t.Logf("%d processes: %d calls", n, store.calls)
			})
		})
	}
}
