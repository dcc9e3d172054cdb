package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// directAttemptTimeout bounds one attempt to give an order to a remote rank, which answers
// within a few milliseconds or not at all.
const directAttemptTimeout = 80 * time.Millisecond

// sendOrder starts to send an order and calls done when that has ended. It does nothing if
// enough of the same order are in flight.
func (m *Member) sendOrder(c *held.Command, now time.Time, done func()) {
	key := callKey{order: c.Order}
	if !m.beginCall(key, now) {
		return
	}
	m.calls.Go(func(ctx context.Context) {
		defer done()
		defer m.endCall(key)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		m.recordResult(m.deliver(ctx, c, now), c)
	})
}

// deliver gives the rank an order. Hold orders go directly, so that the coordinator's own
// box gives the last order before the group may stall.
func (m *Member) deliver(ctx context.Context, c *held.Command, now time.Time) held.Result {
	if m.sidecarSilent(now) || c.Kind == held.KindHold && m.direct != nil {
		return m.deliverDirect(ctx, c)
	}
	reply, err := m.client.Give(ctx, giveRequest(c))
	if err == nil && reply.GetUnknownBase() {
		full := *c
		full.Base = nil
		reply, err = m.client.Give(ctx, commandToWire(&full))
	}
	if err != nil {
		return held.ResultUnknown
	}
	return held.Result(reply.GetResult())
}

// deliverDirect gives an order without the sidecar and repeats it until it is answered or
// ctx ends. Orders are idempotent.
func (m *Member) deliverDirect(ctx context.Context, c *held.Command) held.Result {
	for {
		result, err := orderOnce(ctx, m.direct, c, directAttemptTimeout)
		if err == nil && result != held.ResultUnknown || ctx.Err() != nil {
			return result
		}
	}
}

// orderOnce makes one attempt to give an order. A lost one takes the whole timeout even if
// it fails at once, which paces the retries.
func orderOnce(ctx context.Context, rank held.Rank, c *held.Command, timeout time.Duration) (held.Result, error) {
	attempt, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := rank.Order(attempt, c)
	if result == held.ResultUnknown {
		<-attempt.Done()
	}
	return result, err
}

// recordResult updates the member with the result of an order.
func (m *Member) recordResult(r held.Result, c *held.Command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch r {
	case held.ResultFenced:
		m.foreignFence = max(m.foreignFence, c.Fence+1)
	case held.ResultConflict:
		m.acceptFence()
	case held.ResultDone:
		m.acceptFence()
		m.countVerdict(m.known.addOrder(&c.Order, m.clock.Now()))
	case held.ResultUnknown:
	}
}

// giveRequest encodes a command, with the map as moves from its base if there is one.
func giveRequest(c *held.Command) *wire.GiveRequest {
	r := commandToWire(c)
	if c.Base != nil {
		r.Base, r.Moves = int64(c.BaseVersion), diffMoves(c.Base, c.Placement)
		r.Digest = uint64(digest(c.Placement))
		if c.BaseVersion == 0 {
			s := c.Placement.Shape
			r.Sets, r.Experts, r.Ranks, r.Places = int32(s.Layers), int32(s.Experts), int32(s.Ranks), int32(s.Slots)
		}
	}
	return r
}
