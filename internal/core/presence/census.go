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
	askMembers     QueryKind = 20
	askMembersPart QueryKind = 21
)

const (
	// MemberSyncInterval is the time between two questions to a gateway whether it knows of
	// others. New gateways are heard of sooner; a sidecar at a new address is told by
	// gateways from then on, and tells them by itself.
	MemberSyncInterval = time.Second
	// censusTime bounds a question, censusTries how many gateways are asked.
	censusTime  = 150 * time.Millisecond
	censusTries = 2
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
	// turn is whom to ask next; taken is the digest of what was last taken in.
	turn  int
	taken uint64
	// packed are the records as they were last packed, of the digest; shelf has the packs that
	// others are taking.
	packed PackedRecords
	digest uint64
	shelf  PackCache
}

// Sync asks a gateway or two who they know, and takes in what is new; false when none
// answers. It is for Registrar's Elsewhere.
func (c *MemberSync) Sync(ctx context.Context) bool {
	to := c.from(c.Clock.Now())
	if len(to) == 0 {
		return false
	}
	for range censusTries {
		if c.ask(ctx, to[c.next()%len(to)]) {
			return true
		}
	}
	return false
}

func (c *MemberSync) from(now time.Time) []graniteknot.Address {
	if c.Sources != nil {
		return c.Sources(now)
	}
	return c.View.DirectGateways(c.Self.Box, now)
}

func (c *MemberSync) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	return c.turn
}

func (c *MemberSync) ask(ctx context.Context, from graniteknot.Address) bool {
	short, cancel := context.WithTimeout(ctx, censusTime)
	defer cancel()
	body, err := c.Socket.Ask(short, from, askMembers, nil)
	if err != nil {
		return false
	}
	digest, n := binary.Uvarint(body)
	if n <= 0 {
		return false
	}
	if digest == c.View.Digest(c.Self) || !c.other(digest) {
		return true
	}
	records, err := c.Socket.Fetch(ctx, from, askMembersPart)
	if err != nil {
		return false
	}
	for _, r := range records {
		m, err := memberOf(r)
		if err != nil || m.Box == c.Self.Box {
			continue
		}
		c.View.PutRecord(m, r.At, c.Clock.Now())
	}
	return true
}

// other tells whether a digest is not that of what was last taken in: who knows less
// than this process is not to be asked again and again.
func (c *MemberSync) other(digest uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.taken
	c.taken = digest
	return digest != before
}

// HandleQuery answers the questions of others; false for those of another kind.
func (c *MemberSync) HandleQuery(kind QueryKind, body []byte) ([]byte, bool, error) {
	switch kind {
	case askMembers:
		return binary.AppendUvarint(nil, c.View.Digest(c.Self)), true, nil
	case askMembersPart:
		out, err := c.shelf.ServePart(body, c.pack)
		return out, true, err
	}
	return nil, false, nil
}

// pack returns the records.
func (c *MemberSync) pack() (PackedRecords, error) {
	digest := c.View.Digest(c.Self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed != nil && digest == c.digest {
		return c.packed, nil
	}
	packed, err := PackRecords(c.View.records(c.Self))
	if err != nil {
		return nil, err
	}
	c.packed, c.digest = packed, digest
	return packed, nil
}
