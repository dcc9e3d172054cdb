package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/stream"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/route"
)

// end is how one dispatch ended.
type end uint8

const (
	// endLost is a stream that ended early: the attempt may be running.
	endLost end = iota
	// endWhole is a whole answer.
	endWhole
	// endNotRun is an agent's word that it never ran and never will.
	endNotRun
	// endBroken is an agent's word that it can't be finished.
	endBroken
	// endAlready is an agent's word that it was answered before.
	endAlready
	// endUnreached is a dispatch that provably never left.
	endUnreached
	// endCallerGone is a caller that no longer reads.
	endCallerGone
)

// outcome of one dispatch.
type ended struct {
	end    end
	reason string
	// next is the first sequence that is lacking.
	next graniteknot.Sequence
}

// try sends one dispatch and passes its pieces on.
func (n *run) try(ctx context.Context, a graniteknot.Address, d *wire.Dispatch) ended {
	n.note(timeline.KindDispatch, string(a))
	// Stamped after the event, so that what the agent does comes after it.
	d.Clock = n.relay.stamp()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader, err := n.relay.Agents.Dispatch(ctx, a, d)
	if err != nil {
		return n.failedDispatch(d, err)
	}
	defer reader.Close()
	checker := n.checker(d)
	for {
		chunk, err := reader.Next()
		if err != nil {
			return ended{end: endLost, reason: err.Error(), next: checker.Next()}
		}
		n.learn(a, chunk)
		for _, c := range checker.Accept(chunk) {
			if e, done := n.take(c); done {
				e.next = checker.Next()
				return e
			}
		}
	}
}

func (n *run) failedDispatch(d *wire.Dispatch, err error) ended {
	e := ended{end: endLost, reason: err.Error(), next: graniteknot.Sequence(d.GetFromSequence())}
	if errors.Is(err, graniteknot.ErrNotHandedOver) {
		e.end = endUnreached
	}
	return e
}

func (n *run) checker(d *wire.Dispatch) *stream.Checker {
	c := &stream.Checker{
		Request: graniteknot.RequestID(d.GetRequest()), Attempt: graniteknot.Attempt(d.GetAttempt()),
		Counts: n.relay.Counts,
	}
	c.Begin(graniteknot.Sequence(d.GetFromSequence()))
	return c
}

// learn takes in what a chunk tells of its agent.
func (n *run) learn(a graniteknot.Address, c *wire.Chunk) {
	n.relay.observe(c.GetClock())
	if c.GetLoad() != nil {
		n.table().UpdateLoad(a, LoadFromWire(c.GetLoad()), n.relay.now())
	}
}

// take acts on one chunk in order; true when the attempt has ended.
func (n *run) take(c *wire.Chunk) (ended, bool) {
	switch c.GetKind() {
	case wire.Chunk_STARTED:
		return ended{}, false
	case wire.Chunk_DATA:
		n.sinkErr = n.sink(pieceOf(c))
		if n.sinkErr != nil {
			return ended{end: endCallerGone, reason: n.sinkErr.Error()}, true
		}
		n.delivered++
		return ended{}, false
	case wire.Chunk_END:
		return ended{end: endWhole}, true
	case wire.Chunk_NOT_RUN:
		return ended{end: endNotRun, reason: c.GetReason()}, true
	case wire.Chunk_ALREADY:
		return ended{end: endAlready, reason: c.GetReason()}, true
	case wire.Chunk_BROKEN:
		return ended{end: endBroken, reason: c.GetReason()}, true
	}
	return ended{end: endBroken, reason: fmt.Sprintf("unknown chunk %d", c.GetKind())}, true
}

func pieceOf(c *wire.Chunk) graniteknot.Piece {
	p := graniteknot.Piece{Status: int(c.GetStatus()), Data: c.GetData()}
	if len(c.GetHeader()) > 0 {
		p.Header = http.Header{}
		for _, f := range c.GetHeader() {
			p.Header.Add(f.GetName(), f.GetValue())
		}
	}
	return p
}

// verdict tells the table what an end says about the target.
func (e ended) verdict() route.Result {
	switch e.end {
	case endWhole, endAlready:
		return route.ResultAnswered
	case endNotRun:
		return route.ResultRefused
	case endLost, endBroken, endUnreached:
		return route.ResultFailed
	case endCallerGone:
		return route.ResultCancelled
	}
	return route.ResultFailed
}
