package presence

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	graniteknot "graniteknot.org/go"
)

// MaxBodyBytes is the largest body of a question or an answer: with what is around
// it, it fits into one packet.
const MaxBodyBytes = 1200

// QueryKind says what is asked; the numbers are the callers'.
type QueryKind uint8

// Query asks another process for an answer.
type Query struct {
	// ID is repeated in the answer.
	ID   uint64    `cbor:"1,keyasint"`
	Kind QueryKind `cbor:"2,keyasint"`
	Body []byte    `cbor:"3,keyasint,omitempty"`
}

// Reply is the answer to a question.
type Reply struct {
	ID   uint64 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
	// Error tells why there is no body; empty when there is one.
	Error string `cbor:"3,keyasint,omitempty"`
}

// ErrTooLarge is a question or an answer that does not fit into a datagram.
var ErrTooLarge = errors.New("too large for a datagram")

// tooLarge stands for ErrTooLarge in an answer.
const tooLarge = "too large"

// asked are the questions that wait for their answers. The zero value has none.
type asked struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *Reply
}

// begin returns a number for a question, and where its answer will come.
func (a *asked) begin() (uint64, chan *Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == nil {
		a.waiting = map[uint64]chan *Reply{}
	}
	a.last++
	answer := make(chan *Reply, 1)
	a.waiting[a.last] = answer
	return a.last, answer
}

func (a *asked) end(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, number)
}

// take hands an answer to who waits for it; one that nobody waits for, or that
// came twice, is dropped.
func (a *asked) take(got *Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if waiting := a.waiting[got.ID]; waiting != nil {
		delete(a.waiting, got.ID)
		waiting <- got
	}
}

// Ask asks the process at an address, and waits until it answers or ctx is done.
// The question is sent once: it or its answer may be lost.
func (s *Socket) Ask(ctx context.Context, to graniteknot.Address, kind QueryKind, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrTooLarge
	}
	number, waiting := s.asked.begin()
	defer s.asked.end(number)
	s.Send(Message{Query: &Query{ID: number, Kind: kind, Body: body}}, []graniteknot.Address{to})
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("ask %s: %w", to, ctx.Err())
	case got := <-waiting:
		if got.Error == tooLarge {
			return nil, ErrTooLarge
		}
		if got.Error != "" {
			return nil, fmt.Errorf("ask %s: %s", to, got.Error)
		}
		return got.Body, nil
	}
}

// HandleQueries has questions answered by a function, which is called once for each, in
// a goroutine of its own. It is called before the first question comes.
func (s *Socket) HandleQueries(answer func(context.Context, QueryKind, []byte) ([]byte, error)) {
	s.answer.Store(&answer)
}

// respond answers a question.
func (s *Socket) respond(q *Query, from netip.AddrPort) {
	answer := s.answer.Load()
	if answer == nil {
		return
	}
	s.group.Go(func(ctx context.Context) {
		out := &Reply{ID: q.ID}
		body, err := (*answer)(ctx, q.Kind, q.Body)
		switch {
		case err != nil:
			out.Error = err.Error()
		case len(body) > MaxBodyBytes:
			out.Error = tooLarge
		default:
			out.Body = body
		}
		s.sendTo(Message{Reply: out}, from)
	})
}
