// Package weights stands in for the platform's weight store: loads are served
// one after another at a bounded rate.
package weights

import (
	"context"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// Store is the store. Set Rate.
type Store struct {
	// Rate is in bytes a second; 0 for no bound.
	Rate graniteknot.Bytes

	mu     sync.Mutex
	free   time.Time
	loaded graniteknot.Bytes
}

// Load implements graniteknot.WeightStore.
func (s *Store) Load(ctx context.Context, size graniteknot.Bytes) error {
	timer := time.NewTimer(s.reserve(size))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// reserve returns how long until the bytes are delivered.
func (s *Store) reserve(size graniteknot.Bytes) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded += size
	if s.Rate == 0 {
		return 0
	}
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(size) / float64(s.Rate) * float64(time.Second)))
	return s.free.Sub(now)
}

// Loaded returns the bytes asked for so far.
func (s *Store) Loaded() graniteknot.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}
