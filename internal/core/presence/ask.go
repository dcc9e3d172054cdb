package presence

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	graniteknot "graniteknot.org/go"
)

// MostBody is the largest body of a question or an answer: with what is around
// it, it fits into one packet.
const MostBody = 1200

// Kind says what is asked; the numbers are the callers'.
type Kind uint8

// Question asks another process for an answer.
type Question struct {
	// Number is repeated in the answer.
	Number uint64 `cbor:"1,keyasint"`
	Kind   Kind   `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

// Answer is the answer to a question.
type Answer struct {
	Number uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	// Failed tells why there is no body; empty when there is one.
	Failed string `cbor:"3,keyasint,omitempty"`
}

// ErrTooLarge is a question or an answer that does not fit into a datagram.
var ErrTooLarge = errors.New("too large for a datagram")

// tooLarge stands for ErrTooLarge in an answer.
const tooLarge = "too large"

// asked are the questions that wait for their answers. The zero value has none.
type asked struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *Answer
}

// begin returns a number for a question, and where its answer will come.
func (a *asked) begin() (uint64, chan *Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == nil {
		a.waiting = map[uint64]chan *Answer{}
	}
	a.last++
	answer := make(chan *Answer, 1)
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
func (a *asked) take(got *Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if waiting := a.waiting[got.Number]; waiting != nil {
		delete(a.waiting, got.Number)
		waiting <- got
	}
}

// Ask asks the process at an address, and waits until it answers or ctx is done.
// The question is sent once: it or its answer may be lost.
func (s *Socket) Ask(ctx context.Context, to graniteknot.Address, kind Kind, body []byte) ([]byte, error) {
	if len(body) > MostBody {
		return nil, ErrTooLarge
	}
	number, waiting := s.asked.begin()
	defer s.asked.end(number)
	s.Send(Message{Question: &Question{Number: number, Kind: kind, Body: body}}, []graniteknot.Address{to})
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("ask %s: %w", to, ctx.Err())
	case got := <-waiting:
		if got.Failed == tooLarge {
			return nil, ErrTooLarge
		}
		if got.Failed != "" {
			return nil, fmt.Errorf("ask %s: %s", to, got.Failed)
		}
		return got.Body, nil
	}
}

// Respond has questions answered by a function, which is called once for each, in
// a goroutine of its own. It is called before the first question comes.
func (s *Socket) Respond(answer func(context.Context, Kind, []byte) ([]byte, error)) {
	s.answer.Store(&answer)
}

// respond answers a question.
func (s *Socket) respond(q *Question, from netip.AddrPort) {
	answer := s.answer.Load()
	if answer == nil {
		return
	}
	s.group.Go(func(ctx context.Context) {
		out := &Answer{Number: q.Number}
		body, err := (*answer)(ctx, q.Kind, q.Body)
		switch {
		case err != nil:
			out.Failed = err.Error()
		case len(body) > MostBody:
			out.Failed = tooLarge
		default:
			out.Body = body
		}
		s.sendTo(Message{Answer: out}, from)
	})
}
