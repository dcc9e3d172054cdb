package spread

import (
	"sync"
	"sync/atomic"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

const (
	// keepRecords is how many records a store keeps for peers that are behind.
	keepRecords = 512
	// keepRefusals is how many refused changes a store can tell about.
	keepRefusals = 64
)

// Store is one process's settings. Make it with New. Tree is safe and cheap
// from any goroutine.
type Store struct {
	// Timeline may be nil.
	Timeline *timeline.Recorder
	// Watch is called, with the store locked, for every verdict; it may be nil.
	Watch func(fold.Verdict)

	trust *fold.TrustStore
	tree  atomic.Pointer[settings.Tree]

	mu    sync.Mutex
	state *fold.State
	// recent holds the last records folded, contiguous, up to state.Offset().
	recent []graniteknot.Record
	// confirmed is the newest time at which some process saw the log's end at
	// the offset of this store.
	confirmed time.Time
	refusals  []fold.Verdict
	// changed is closed and replaced whenever the offset grows.
	changed chan struct{}
}

// New returns the store of a process that knows nothing yet.
func New(trust *fold.TrustStore) *Store {
	s := &Store{trust: trust, state: fold.NewState(trust), changed: make(chan struct{})}
	s.tree.Store(s.state.Tree())
	return s
}

// Tree returns the settings in force here.
func (s *Store) Tree() *settings.Tree { return s.tree.Load() }

// Position is where a store is.
type Position struct {
	Offset graniteknot.Offset
	Digest uint64
	// Confirmed is when the log's end was last seen at this offset, here or
	// at a peer; zero for never.
	Confirmed time.Time
}

// Position returns where the store is.
func (s *Store) Position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Position{Offset: s.state.Offset(), Digest: s.state.Digest(), Confirmed: s.confirmed}
}

// Version returns the offset of a branch's last accepted change.
func (s *Store) Version(b settings.Branch) graniteknot.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Version(b)
}

// Changed returns a channel that is closed at the next change of the offset.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Refusals returns the last changes that were refused.
func (s *Store) Refusals() []fold.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fold.Verdict(nil), s.refusals...)
}

// Fold takes in records. It returns false when they leave a gap, so that
// something before them is needed first.
func (s *Store) Fold(records []graniteknot.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Offset()
	whole := true
	for _, r := range records {
		if r.Offset <= s.state.Offset() {
			continue
		}
		verdict, err := s.state.Apply(r)
		if err != nil {
			whole = false
			break
		}
		s.recent = append(s.recent, r)
		s.note(verdict)
	}
	if len(s.recent) > 2*keepRecords {
		s.recent = append([]graniteknot.Record(nil), s.recent[len(s.recent)-keepRecords:]...)
	}
	s.publish(before)
	return whole
}

// Adopt takes in a snapshot if it is newer than the store and proved.
func (s *Store) Adopt(snapshot *wire.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Offset()
	if graniteknot.Offset(snapshot.GetOffset()) <= before {
		return nil
	}
	state, err := fold.Restore(s.trust, snapshot)
	if err != nil {
		return &Error{Op: "adopt", Kind: KindBad, Err: err}
	}
	s.state = state
	s.recent = nil
	s.publish(before)
	return nil
}

// publish makes the state's tree the one in force. It is called with the lock
// held.
func (s *Store) publish(before graniteknot.Offset) {
	s.tree.Store(s.state.Tree())
	if s.state.Offset() == before {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) note(v fold.Verdict) {
	if v.Status == fold.StatusNone {
		return
	}
	kind, detail := timeline.KindSettings, v.Branch+" "+v.Status.String()+" id="+v.ID
	if v.Status == fold.StatusRefused {
		kind, detail = timeline.KindRejected, v.Branch+" id="+v.ID+" "+v.Err.Error()
		s.refusals = append(s.refusals, v)
		s.refusals = s.refusals[max(0, len(s.refusals)-keepRefusals):]
	}
	if s.Watch != nil {
		s.Watch(v)
	}
	if s.Timeline != nil {
		s.Timeline.Add(timeline.Event{Kind: kind, Offset: v.Offset, Detail: detail})
	}
}

// confirm notes that the log's end was seen at an offset.
func (s *Store) confirm(at graniteknot.Offset, when time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at == s.state.Offset() && when.After(s.confirmed) {
		s.confirmed = when
	}
}

// Snapshot returns the state for the log or for a peer.
func (s *Store) Snapshot() *wire.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Snapshot()
}
