// Package stream checks that the chunks of one attempt are passed on in order,
// once and without gaps, and that nothing of another request or attempt gets
// in between. Asking again for what is missing is left to package relay.
package stream

import (
	"sync/atomic"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
)

// maxAhead bounds the chunks that are kept while an earlier one is missing.
const maxAhead = 64

// Counts is how many chunks were dropped, over all checkers that share it.
type Counts struct {
	Foreign, Doubled, TooFarAhead atomic.Uint64
}

// Checker puts the chunks of one attempt in order. Set the first two fields.
type Checker struct {
	Request graniteknot.RequestID
	Attempt graniteknot.Attempt
	// Counts may be nil.
	Counts *Counts

	// next is the sequence that is passed on next.
	next graniteknot.Sequence
	// ahead holds chunks after next, at most maxAhead.
	ahead map[graniteknot.Sequence]*wire.Chunk
}

// Begin sets the sequence of the first chunk that is lacking.
func (c *Checker) Begin(at graniteknot.Sequence) { c.next = at }

// Next returns the sequence of the first chunk that was not passed on.
func (c *Checker) Next() graniteknot.Sequence { return c.next }

// Accept takes a chunk and returns those that can be passed on now, in order.
func (c *Checker) Accept(chunk *wire.Chunk) []*wire.Chunk {
	if !c.own(chunk) {
		return nil
	}
	at := graniteknot.Sequence(chunk.GetSequence())
	if at > c.next {
		c.keep(at, chunk)
		return nil
	}
	out := []*wire.Chunk{chunk}
	for c.next++; ; c.next++ {
		following, ok := c.ahead[c.next]
		if !ok {
			return out
		}
		delete(c.ahead, c.next)
		out = append(out, following)
	}
}

// own drops chunks of others and chunks that were passed on already.
func (c *Checker) own(chunk *wire.Chunk) bool {
	if chunk.GetRequest() != string(c.Request) || chunk.GetAttempt() != uint32(c.Attempt) {
		c.count(func(n *Counts) { n.Foreign.Add(1) })
		return false
	}
	if chunk.GetSequence() < uint64(c.next) {
		c.count(func(n *Counts) { n.Doubled.Add(1) })
		return false
	}
	return true
}

func (c *Checker) keep(at graniteknot.Sequence, chunk *wire.Chunk) {
	if c.ahead == nil {
		c.ahead = map[graniteknot.Sequence]*wire.Chunk{}
	}
	if _, had := c.ahead[at]; had {
		c.count(func(n *Counts) { n.Doubled.Add(1) })
		return
	}
	if len(c.ahead) >= maxAhead {
		c.count(func(n *Counts) { n.TooFarAhead.Add(1) })
		return
	}
	c.ahead[at] = chunk
}

func (c *Checker) count(f func(*Counts)) {
	if c.Counts != nil {
		f(c.Counts)
	}
}
