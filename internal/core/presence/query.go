package presence

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"

	graniteknot "graniteknot.org/go"
)

// MaxBodyBytes bounds the body of a query or a reply, so that the whole datagram fits into
// one packet.
const MaxBodyBytes = 1200

// QueryKind identifies the kind of a query. Callers define the values.
type QueryKind uint8

// Query is a request for data to another process.
type Query struct {
	// ID is repeated in the reply.
	ID   uint64    `cbor:"1,keyasint"`
	Kind QueryKind `cbor:"2,keyasint"`
	Body []byte    `cbor:"3,keyasint,omitempty"`
}

// Reply is the response to a query.
type Reply struct {
	ID   uint64 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
	// Error is why the query failed; empty if it succeeded.
	Error string `cbor:"3,keyasint,omitempty"`
}

// ErrTooLarge is returned for a query or a reply that does not fit into a datagram.
var ErrTooLarge = errors.New("too large for a datagram")

var errAddress = errors.New("malformed address")

// tooLargeError is how a reply reports ErrTooLarge.
const tooLargeError = "too large"

// pendingQueries tracks the queries that wait for a reply. The zero value is empty.
type pendingQueries struct {
	mu      sync.Mutex
	lastID  uint64
	waiters map[uint64]queryWaiter
}

// queryWaiter waits for the reply of the process at an address.
type queryWaiter struct {
	from  netip.AddrPort
	reply chan *Reply
}

// add returns the ID of a new query and the channel on which its reply arrives. IDs begin at a random
// number, or replies to a former process at this address would match the queries of this one.
func (p *pendingQueries) add(to netip.AddrPort) (uint64, chan *Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiters == nil {
		p.waiters = map[uint64]queryWaiter{}
		p.lastID = uint64(rand.Uint32())
	}
	p.lastID++
	reply := make(chan *Reply, 1)
	p.waiters[p.lastID] = queryWaiter{from: to, reply: reply}
	return p.lastID, reply
}

func (p *pendingQueries) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
}

// deliver hands a reply to the query that waits for it, and reports false if that was sent to another
// process. Duplicates and replies to unknown queries are dropped.
func (p *pendingQueries) deliver(reply *Reply, from netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiter, waiting := p.waiters[reply.ID]
	if !waiting {
		return true
	}
	if !sameAddress(waiter.from, from) {
		return false
	}
	delete(p.waiters, reply.ID)
	waiter.reply <- reply
	return true
}

// sameAddress compares addresses, of which one may be an IPv4 address in IPv6 form.
func sameAddress(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && a.Addr().Unmap() == b.Addr().Unmap()
}

// Ask sends a query to the process at an address and waits for the reply or until ctx is
// done. The query is sent once: it or its reply may be lost.
func (s *Socket) Ask(ctx context.Context, to graniteknot.Address, kind QueryKind, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrTooLarge
	}
	address, ok := s.parse(to)
	if !ok {
		return nil, fmt.Errorf("query %s: %w", to, errAddress)
	}
	id, waiter := s.pending.add(address)
	defer s.pending.remove(id)
	s.sendTo(Message{Query: &Query{ID: id, Kind: kind, Body: body}}, address)
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("query %s: %w", to, ctx.Err())
	case reply := <-waiter:
		if reply.Error == tooLargeError {
			return nil, ErrTooLarge
		}
		if reply.Error != "" {
			return nil, fmt.Errorf("query %s: %s", to, reply.Error)
		}
		return reply.Body, nil
	}
}

// HandleQueries sets the handler of incoming queries, which runs in a goroutine of its own
// for each. Queries that arrive before it is set are dropped.
func (s *Socket) HandleQueries(handler func(context.Context, QueryKind, []byte) ([]byte, error)) {
	s.queryHandler.Store(&handler)
}

// handleQuery runs the handler for a query and sends its reply.
func (s *Socket) handleQuery(q *Query, from netip.AddrPort) {
	handler := s.queryHandler.Load()
	if handler == nil {
		return
	}
	s.group.Go(func(ctx context.Context) {
		out := &Reply{ID: q.ID}
		body, err := (*handler)(ctx, q.Kind, q.Body)
		switch {
		case err != nil:
			out.Error = err.Error()
		case len(body) > MaxBodyBytes:
			out.Error = tooLargeError
		default:
			out.Body = body
		}
		s.sendTo(Message{Reply: out}, from)
	})
}
