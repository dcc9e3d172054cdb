package presence

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// The query kinds of the membership sync: for the digest and for a part of the records.
const (
	queryMembersDigest QueryKind = 20
	queryMembersPart   QueryKind = 21
)

const (
	// MemberSyncInterval is the time between two syncs. New gateways become known sooner, by
	// their datagrams, and so does a sidecar at a new address: gateways send it datagrams
	// from then on, and it reports its load to them.
	MemberSyncInterval = time.Second
	// memberSyncTimeout bounds one query, memberSyncAttempts the number of gateways queried.
	memberSyncTimeout  = 150 * time.Millisecond
	memberSyncAttempts = 2
	// memberSyncGrace is how long after a sync the store isn't read although no gateway replies.
	// The store returns the records of all members in several calls.
	memberSyncGrace = 3 * time.Second
)

// MemberSync fetches the member records from gateways instead of from the store: when each
// process followed the store itself, a start of 278 processes made some 1,500 store calls.
// Set the exported fields.
type MemberSync struct {
	Socket *Socket
	View   *View
	Self   Member
	// Clock measures ages.
	Clock graniteknot.AgeClock
	// Sources returns the addresses to query; nil means View.DirectGateways. Gateways query
	// the store's readers: relays that queried each other would never learn of a process
	// whose record none of them has read.
	Sources func(now time.Time) []graniteknot.Address

	mu sync.Mutex
	// nextSource counts through the sources; lastDigest is that of the records last fetched.
	nextSource int
	lastDigest uint64
	// syncedAt is when a gateway last replied.
	syncedAt time.Time
	// packed are the records as last packed, and packedDigest the view's digest then;
	// packCache holds the sets that other processes are fetching.
	packed       PackedRecords
	packedDigest uint64
	packCache    PackCache
}

// Sync queries up to memberSyncAttempts gateways and adds the members that they know to the
// view. It returns false if none has replied within memberSyncGrace. It implements
// Registrar.SyncFromPeer.
func (s *MemberSync) Sync(ctx context.Context) bool {
	sources := s.sources(s.Clock.Now())
	if len(sources) == 0 {
		return false
	}
	for range memberSyncAttempts {
		if s.syncFrom(ctx, sources[s.nextIndex()%len(sources)]) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.syncedAt = s.Clock.Now()
			return true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.syncedAt.IsZero() && s.Clock.Since(s.syncedAt) < memberSyncGrace
}

func (s *MemberSync) sources(now time.Time) []graniteknot.Address {
	if s.Sources != nil {
		return s.Sources(now)
	}
	return s.View.DirectGateways(s.Self.Box, now)
}

func (s *MemberSync) nextIndex() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextSource++
	return s.nextSource
}

func (s *MemberSync) syncFrom(ctx context.Context, from graniteknot.Address) bool {
	queryCtx, cancel := context.WithTimeout(ctx, memberSyncTimeout)
	defer cancel()
	body, err := s.Socket.Ask(queryCtx, from, queryMembersDigest, nil)
	if err != nil {
		return false
	}
	digest, n := binary.Uvarint(body)
	if n <= 0 {
		return false
	}
	if digest == s.View.Digest(s.Self) || !s.digestChanged(digest) {
		return true
	}
	records, err := s.Socket.Fetch(ctx, from, queryMembersPart)
	if err != nil {
		return false
	}
	for _, r := range records {
		m, err := decodeMember(r)
		if err != nil || m.Box == s.Self.Box {
			continue
		}
		s.View.PutRecord(m, r.At, s.Clock.Now())
	}
	return true
}

// digestChanged reports whether a digest differs from that of the last fetch, and remembers it.
// A gateway that knows less than this process would otherwise be fetched from each time.
func (s *MemberSync) digestChanged(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.lastDigest
	s.lastDigest = digest
	return digest != previous
}

// HandleQuery answers a query of another process. It returns false for other query kinds.
func (s *MemberSync) HandleQuery(kind QueryKind, body []byte) ([]byte, bool, error) {
	switch kind {
	case queryMembersDigest:
		return binary.AppendUvarint(nil, s.View.Digest(s.Self)), true, nil
	case queryMembersPart:
		out, err := s.packCache.ServePart(body, s.pack)
		return out, true, err
	}
	return nil, false, nil
}

// pack returns the packed records of the view.
func (s *MemberSync) pack() (PackedRecords, error) {
	digest := s.View.Digest(s.Self)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed != nil && digest == s.packedDigest {
		return s.packed, nil
	}
	packed, err := PackRecords(s.View.records(s.Self))
	if err != nil {
		return nil, err
	}
	s.packed, s.packedDigest = packed, digest
	return packed, nil
}
