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
	// CensusPeriod is the time between two questions to a gateway whether it knows of
	// others. New gateways are heard of sooner; a sidecar at a new address is told by
	// gateways from then on, and tells them by itself.
	CensusPeriod = time.Second
	// censusTime bounds a question, censusTries how many gateways are asked.
	censusTime  = 150 * time.Millisecond
	censusTries = 2
)

// Census learns from gateways who is known, in place of the store: where each process
// follows the store's records itself, a start of 278 made some 1,500 calls. Set the
// exported fields.
type Census struct {
	Socket *Socket
	View   *View
	Self   Member
	// Clock is what ages are decided by.
	Clock graniteknot.AgeClock
	// From returns whom to ask; nil for the gateways that are told directly. Gateways ask
	// the readers: relays that asked each other would never learn of a process whose
	// record none of them has read.
	From func(now time.Time) []graniteknot.Address

	mu sync.Mutex
	// turn is whom to ask next; taken is the digest of what was last taken in.
	turn  int
	taken uint64
	// packed are the records as they were last packed, of the digest; shelf has the packs that
	// others are taking.
	packed Packed
	digest uint64
	shelf  Shelf
}

// Ask asks a gateway or two who they know, and takes in what is new; false when none
// answers. It is for Registrar's Elsewhere.
func (c *Census) Ask(ctx context.Context) bool {
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

func (c *Census) from(now time.Time) []graniteknot.Address {
	if c.From != nil {
		return c.From(now)
	}
	return c.View.Audience(c.Self.Box, now)
}

func (c *Census) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	return c.turn
}

func (c *Census) ask(ctx context.Context, from graniteknot.Address) bool {
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
		c.View.PutAt(m, r.At, c.Clock.Now())
	}
	return true
}

// other tells whether a digest is not that of what was last taken in: who knows less
// than this process is not to be asked again and again.
func (c *Census) other(digest uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.taken
	c.taken = digest
	return digest != before
}

// Answer answers the questions of others; false for those of another kind.
func (c *Census) Answer(kind QueryKind, body []byte) ([]byte, bool, error) {
	switch kind {
	case askMembers:
		return binary.AppendUvarint(nil, c.View.Digest(c.Self)), true, nil
	case askMembersPart:
		out, err := c.shelf.Part(body, c.pack)
		return out, true, err
	}
	return nil, false, nil
}

// pack returns the records.
func (c *Census) pack() (Packed, error) {
	digest := c.View.Digest(c.Self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed != nil && digest == c.digest {
		return c.packed, nil
	}
	packed, err := Pack(c.View.records(c.Self))
	if err != nil {
		return nil, err
	}
	c.packed, c.digest = packed, digest
	return packed, nil
}
