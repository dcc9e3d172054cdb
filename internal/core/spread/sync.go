package spread

import (
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
)

// maxReply bounds the records in one answer to a peer.
const maxReply = 128

// Request returns what to ask a peer with.
func (s *Store) Request(now time.Time) *wire.SyncRequest {
	p := s.Position()
	return &wire.SyncRequest{Offset: int64(p.Offset), Digest: p.Digest, ConfirmedMs: age(p.Confirmed, now)}
}

// Answer gives a peer what it lacks.
func (s *Store) Answer(r *wire.SyncRequest, now time.Time) *wire.SyncReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &wire.SyncReply{
		Offset: int64(s.state.Offset()), Digest: s.state.Digest(), ConfirmedMs: age(s.confirmed, now),
	}
	from := graniteknot.Offset(r.GetOffset()) + 1
	if from > s.state.Offset() {
		return reply
	}
	if len(s.recent) == 0 || s.recent[0].Offset > from {
		reply.Snapshot = s.state.Snapshot()
		return reply
	}
	start := int(from - s.recent[0].Offset)
	for _, rec := range s.recent[start:min(len(s.recent), start+maxReply)] {
		reply.Records = append(reply.Records, &wire.LogRecord{Offset: int64(rec.Offset), Data: rec.Data})
	}
	return reply
}

// Take takes in a peer's answer. It returns true when the store moved.
func (s *Store) Take(reply *wire.SyncReply, now time.Time) (bool, error) {
	before := s.Position().Offset
	if reply.GetSnapshot() != nil {
		if err := s.Adopt(reply.GetSnapshot()); err != nil {
			return false, err
		}
	}
	var records []graniteknot.Record
	for _, r := range reply.GetRecords() {
		records = append(records, graniteknot.Record{Offset: graniteknot.Offset(r.GetOffset()), Data: r.GetData()})
	}
	s.Fold(records)
	after := s.Position()
	if reply.GetConfirmedMs() >= 0 && after.Digest == reply.GetDigest() {
		at := now.Add(-time.Duration(reply.GetConfirmedMs()) * time.Millisecond)
		s.confirm(graniteknot.Offset(reply.GetOffset()), at)
	}
	return after.Offset > before, nil
}

// Behind tells whether a peer that asked has more than the store.
func (s *Store) Behind(r *wire.SyncRequest) bool {
	return graniteknot.Offset(r.GetOffset()) > s.Position().Offset
}

// age is how long ago something was in milliseconds; -1 for never.
func age(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return max(0, now.Sub(t).Milliseconds())
}
