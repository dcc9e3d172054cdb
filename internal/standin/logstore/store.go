// Package logstore stands in for the platform's append-only log: offsets,
// limited retention, a bounded rate of appends, and switches for outage,
// slowness and lost answers. It keeps everything in memory.
package logstore

import (
	"context"
	"errors"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// The errors that callers of the store meet.
var (
	ErrDown       = errors.New("logstore: down")
	ErrLostAnswer = errors.New("logstore: the answer was lost")
	ErrTooMany    = errors.New("logstore: too many appends")
)

// Faults are the switches. The zero value is a log that is well.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// LoseAnswers makes every n-th append take effect and fail; 0 for none.
	LoseAnswers int `json:"lose_answers"`
}

// Store is the log. The zero value works, without bounds.
type Store struct {
	// Retention is how many records each stream keeps; 0 for all.
	Retention int
	// Rate is how many appends a second are taken; 0 for all.
	Rate int
	// Now is time.Now when nil.
	Now graniteknot.Clock

	mu      sync.Mutex
	faults  Faults
	streams map[graniteknot.Stream]*records
	appends int
	// second and taken bound the rate.
	second int64
	taken  int
}

// records is one stream.
type records struct {
	// kept are contiguous; kept[0] has offset first.
	kept  [][]byte
	first graniteknot.Offset
}

// Set switches faults.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Append implements graniteknot.Log.
func (s *Store) Append(ctx context.Context, stream graniteknot.Stream, data []byte) (graniteknot.Offset, error) {
	if err := s.delay(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allowed() {
		return 0, ErrTooMany
	}
	r := s.stream(stream)
	r.kept = append(r.kept, append([]byte(nil), data...))
	offset := r.first + graniteknot.Offset(len(r.kept)) - 1
	r.trim(s.Retention)
	s.appends++
	if s.faults.LoseAnswers > 0 && s.appends%s.faults.LoseAnswers == 0 {
		return 0, ErrLostAnswer
	}
	return offset, nil
}

// Read implements graniteknot.Log.
func (s *Store) Read(ctx context.Context, stream graniteknot.Stream, from graniteknot.Offset, limit int) (graniteknot.Page, error) {
	if err := s.delay(ctx); err != nil {
		return graniteknot.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.stream(stream)
	page := graniteknot.Page{First: r.first, Next: r.first + graniteknot.Offset(len(r.kept))}
	for at := max(from, r.first); at < page.Next && len(page.Records) < limit; at++ {
		page.Records = append(page.Records, graniteknot.Record{Offset: at, Data: r.kept[at-r.first]})
	}
	return page, nil
}

// delay holds a call up, and fails it while the log is down.
func (s *Store) delay(ctx context.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		timer := time.NewTimer(f.Slow)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	if f.Down {
		return ErrDown
	}
	return nil
}

// allowed counts an append against the rate.
func (s *Store) allowed() bool {
	if s.Rate == 0 {
		return true
	}
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	if second := now().Unix(); second != s.second {
		s.second, s.taken = second, 0
	}
	s.taken++
	return s.taken <= s.Rate
}

func (s *Store) stream(name graniteknot.Stream) *records {
	if s.streams == nil {
		s.streams = map[graniteknot.Stream]*records{}
	}
	r, ok := s.streams[name]
	if !ok {
		r = &records{first: 1}
		s.streams[name] = r
	}
	return r
}

func (r *records) trim(retention int) {
	if extra := len(r.kept) - retention; retention > 0 && extra > 0 {
		r.kept = append([][]byte(nil), r.kept[extra:]...)
		r.first += graniteknot.Offset(extra)
	}
}
