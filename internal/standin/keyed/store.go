// Package keyed is a stand-in of the platform's store of keyed records, in
// memory, with the store's failures: away, refusing, losing answers, forgetting
// its history.
package keyed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// Fault is what a Store does wrong.
type Fault int

// The faults.
const (
	// FaultNone answers.
	FaultNone Fault = iota
	// FaultSilent does not answer until the caller gives up, and does nothing.
	FaultSilent
	// FaultRefuse refuses and does nothing.
	FaultRefuse
	// FaultLose does what it is asked, and does not answer.
	FaultLose
)

// Store implements graniteknot.KeyedStore. The zero value is empty.
type Store struct {
	mu     sync.Mutex
	topics map[graniteknot.Topic]*topic
	fault  Fault
	// era rises each time the store comes back from a copy.
	era graniteknot.Era
	// calls counts the calls, refused ones included.
	calls int
}

type topic struct {
	// records are those kept; the first stands at start.
	records []graniteknot.KeyedRecord
	start   graniteknot.Position
	newest  map[string]graniteknot.KeyedRecord
	// added is closed when a record is added.
	added chan struct{}
}

// Set changes what the store does wrong.
func (s *Store) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls counts the calls.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Trim forgets all records of a topic but the newest of each key.
func (s *Store) Trim(t graniteknot.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(t)
	x.start = x.end()
	x.records = nil
}

// Put adds a record whatever the store's fault, as its owner does.
func (s *Store) Put(t graniteknot.Topic, key string, value []byte) graniteknot.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(t).add(graniteknot.KeyedRecord{Key: key, Value: value}).In(s.era)
}

// Copy is what a store held at a time.
type Copy struct{ topics map[graniteknot.Topic]*topic }

// Copy takes a copy of all topics.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{topics: map[graniteknot.Topic]*topic{}}
	for name, t := range s.topics {
		c.topics[name] = t.copied()
	}
	return c
}

func (t *topic) copied() *topic {
	return &topic{records: slices.Clone(t.records), start: t.start, newest: maps.Clone(t.newest), added: make(chan struct{})}
}

// Restore puts a copy in the place of all that the store holds, in a new era: what was
// written since is gone, and its positions come again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	former := s.topics
	s.topics = map[graniteknot.Topic]*topic{}
	for name, t := range c.topics {
		s.topics[name] = t.copied()
	}
	for _, t := range former {
		close(t.added)
	}
}

// Era returns how often the store came back from a copy; 0 for never.
func (s *Store) Era() graniteknot.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) topic(t graniteknot.Topic) *topic {
	if s.topics == nil {
		s.topics = map[graniteknot.Topic]*topic{}
	}
	if s.topics[t] == nil {
		s.topics[t] = &topic{newest: map[string]graniteknot.KeyedRecord{}, added: make(chan struct{})}
	}
	return s.topics[t]
}

func (t *topic) end() graniteknot.Position { return t.start + graniteknot.Position(len(t.records)) }

func (t *topic) add(r graniteknot.KeyedRecord) graniteknot.Position {
	r.At = t.end()
	t.records = append(t.records, r)
	if len(r.Value) == 0 {
		delete(t.newest, r.Key)
	} else {
		t.newest[r.Key] = r
	}
	close(t.added)
	t.added = make(chan struct{})
	return r.At
}

// begin counts a call and acts on the store's fault.
func (s *Store) begin(ctx context.Context) (Fault, error) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case FaultSilent:
		<-ctx.Done()
		return fault, ctx.Err()
	case FaultRefuse:
		return fault, fmt.Errorf("refused: %w", graniteknot.ErrNotDone)
	case FaultNone, FaultLose:
	}
	return fault, nil
}

// Newest implements graniteknot.KeyedStore.
func (s *Store) Newest(ctx context.Context, t graniteknot.Topic) (graniteknot.KeyedPage, error) {
	if err := s.ask(ctx); err != nil {
		return graniteknot.KeyedPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(t)
	page := graniteknot.KeyedPage{End: x.end().In(s.era)}
	for _, r := range x.newest {
		r.At = r.At.In(s.era)
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// ask begins a call that changes nothing.
func (s *Store) ask(ctx context.Context) error { return s.askFor(ctx, callTime) }

// askFor begins a call that its caller gives up after a time.
func (s *Store) askFor(ctx context.Context, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	fault, err := s.begin(ctx)
	if err != nil || fault != FaultLose {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// callTime bounds a call to a store that does not answer.
const callTime = time.Second

// Read implements graniteknot.KeyedStore.
func (s *Store) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (graniteknot.KeyedPage, error) {
	if err := s.askFor(ctx, callTime+wait); err != nil {
		return graniteknot.KeyedPage{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, added, err := s.read(t, from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-added:
		case <-timer.C:
			return page, s.ask(ctx)
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (s *Store) read(t graniteknot.Topic, from graniteknot.Position) (graniteknot.KeyedPage, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(t)
	page := graniteknot.KeyedPage{End: x.end().In(s.era), Through: from}
	if from.Era() != s.era {
		return page, nil, fmt.Errorf("read from %v: %w", from, graniteknot.ErrEra)
	}
	from = from.In(0)
	if from < x.start || from > x.end() {
		return page, nil, fmt.Errorf("read from %v: %w", from, graniteknot.ErrTrimmed)
	}
	if from < x.end() {
		for _, r := range x.records[from-x.start:] {
			r.At = r.At.In(s.era)
			page.Records = append(page.Records, r)
		}
		page.Through = page.End
	}
	return page, x.added, nil
}

// Append implements graniteknot.KeyedStore.
func (s *Store) Append(ctx context.Context, t graniteknot.Topic, r graniteknot.KeyedRecord) (graniteknot.Position, error) {
	return s.append(ctx, t, -1, r)
}

// AppendAt implements graniteknot.KeyedStore.
func (s *Store) AppendAt(ctx context.Context, t graniteknot.Topic, end graniteknot.Position, r graniteknot.KeyedRecord) (graniteknot.Position, error) {
	return s.append(ctx, t, end, r)
}

func (s *Store) append(ctx context.Context, t graniteknot.Topic, end graniteknot.Position, r graniteknot.KeyedRecord) (graniteknot.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	fault, err := s.begin(ctx)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	x := s.topic(t)
	if end >= 0 && end != x.end().In(s.era) {
		s.mu.Unlock()
		return 0, fmt.Errorf("append at %v: %w", end, graniteknot.ErrMoved)
	}
	at := x.add(r).In(s.era)
	s.mu.Unlock()
	if fault == FaultLose {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return at, nil
}
