package presence

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// The questions for who is known: for a digest, and for a part of the records.
const (
	queryMembersDigest QueryKind = 20
	queryMembersPart   QueryKind = 21
)

const (
	// MemberSyncInterval is the time between two questions to a gateway whether it knows of
	// others. New gateways are heard of sooner; a sidecar at a new address is told by
	// gateways from then on, and tells them by itself.
	MemberSyncInterval = time.Second
	// memberSyncTimeout bounds a question, censusTries how many gateways are asked.
	memberSyncTimeout  = 150 * time.Millisecond
	memberSyncAttempts = 2
)

// MemberSync learns from gateways who is known, in place of the store: where each process
// follows the store's records itself, a start of 278 made some 1,500 calls. Set the
// exported fields.
type MemberSync struct {
	Socket *Socket
	View   *View
	Self   Member
	// Clock is what ages are decided by.
	Clock graniteknot.AgeClock
	// Sources returns whom to ask; nil for the gateways that are told directly. Gateways ask
	// the readers: relays that asked each other would never learn of a process whose
	// record none of them has read.
	Sources func(now time.Time) []graniteknot.Address

	mu sync.Mutex
	// nextSource is whom to ask next; taken is the digest of what was last taken in.
	nextSource int
	lastDigest uint64
	// packed are the records as they were last packed, of the digest; shelf has the packs that
	// others are taking.
	packed       PackedRecords
	packedDigest uint64
	packCache    PackCache
}

// Sync asks a gateway or two who they know, and takes in what is new; false when none
// answers. It is for Registrar's Elsewhere.
func (c *MemberSync) Sync(ctx context.Context) bool {
	to := c.sources(c.Clock.Now())
	if len(to) == 0 {
		return false
	}
	for range memberSyncAttempts {
		if c.syncFrom(ctx, to[c.nextIndex()%len(to)]) {
			return true
		}
	}
	return false
}

func (c *MemberSync) sources(now time.Time) []graniteknot.Address {
	if c.Sources != nil {
		return c.Sources(now)
	}
	return c.View.DirectGateways(c.Self.Box, now)
}

func (c *MemberSync) nextIndex() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextSource++
	return c.nextSource
}

func (c *MemberSync) syncFrom(ctx context.Context, from graniteknot.Address) bool {
	short, cancel := context.WithTimeout(ctx, memberSyncTimeout)
	defer cancel()
	body, err := c.Socket.Ask(short, from, queryMembersDigest, nil)
	if err != nil {
		return false
	}
	digest, n := binary.Uvarint(body)
	if n <= 0 {
		return false
	}
	if digest == c.View.Digest(c.Self) || !c.digestChanged(digest) {
		return true
	}
	records, err := c.Socket.Fetch(ctx, from, queryMembersPart)
	if err != nil {
		return false
	}
	for _, r := range records {
		m, err := decodeMember(r)
		if err != nil || m.Box == c.Self.Box {
			continue
		}
		c.View.PutRecord(m, r.At, c.Clock.Now())
	}
	return true
}

// digestChanged tells whether a digest is not that of what was last taken in: who knows less
// than this process is not to be asked again and again.
func (c *MemberSync) digestChanged(digest uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.lastDigest
	c.lastDigest = digest
	return digest != before
}

// HandleQuery answers the questions of others; false for those of another kind.
func (c *MemberSync) HandleQuery(kind QueryKind, body []byte) ([]byte, bool, error) {
	switch kind {
	case queryMembersDigest:
		return binary.AppendUvarint(nil, c.View.Digest(c.Self)), true, nil
	case queryMembersPart:
		out, err := c.packCache.ServePart(body, c.pack)
		return out, true, err
	}
	return nil, false, nil
}

// pack returns the records.
func (c *MemberSync) pack() (PackedRecords, error) {
	digest := c.View.Digest(c.Self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed != nil && digest == c.packedDigest {
		return c.packed, nil
	}
	packed, err := PackRecords(c.View.records(c.Self))
	if err != nil {
		return nil, err
	}
	c.packed, c.packedDigest = packed, digest
	return packed, nil
}
