package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// directAttemptTimeout bounds one try of an order to a rank from afar: it takes a way of a
// few milliseconds, or gets no answer at all.
const directAttemptTimeout = 80 * time.Millisecond

// sendOrder begins to sendOrder an order, and calls done when that has ended.
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

// deliver gives an deliver, a hold from the keeper's own box: it is then the
// keeper's box that gave the last deliver before the group may stand.
func (m *Member) deliver(ctx context.Context, c *held.Command, now time.Time) held.Result {
	if m.sidecarSilent(now) || c.Kind == held.KindHold && m.direct != nil {
		return m.deliverDirect(ctx, c)
	}
	reply, err := m.client.Give(ctx, giveRequest(c))
	if err == nil && reply.GetUnknownBase() {
		whole := *c
		whole.Base = nil
		reply, err = m.client.Give(ctx, commandToWire(&whole))
	}
	if err != nil {
		return held.ResultLost
	}
	return held.Result(reply.GetResult())
}

// deliverDirect gives an order from afar until it is answered or the time is over.
// The same order again changes nothing if the first was taken.
func (m *Member) deliverDirect(ctx context.Context, c *held.Command) held.Result {
	for {
		result, err := orderOnce(ctx, m.direct, c, directAttemptTimeout)
		if err == nil && result != held.ResultLost || ctx.Err() != nil {
			return result
		}
	}
}

// orderOnce gives an order once. One that gets no answer takes all of the time,
// also where it fails at once, so that the next try does not follow too soon.
func orderOnce(ctx context.Context, rank held.Rank, c *held.Command, d time.Duration) (held.Result, error) {
	short, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	result, err := rank.Order(short, c)
	if result == held.ResultLost {
		<-short.Done()
	}
	return result, err
}

// recordResult takes in what became of an order.
func (m *Member) recordResult(r held.Result, c *held.Command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch r {
	case held.ResultFenced:
		m.foreignFence = max(m.foreignFence, c.Fence+1)
	case held.ResultConflict:
		m.fenceAccepted = true
	case held.ResultDone:
		m.fenceAccepted = true
		m.applyDone(c)
	case held.ResultLost:
	}
}

// applyDone takes in that the rank has done an order: its word is as good as a
// look, and comes at once. Looks that began before it are not kept.
func (m *Member) applyDone(c *held.Command) {
	s := &m.latest.state
	if s.Epoch != c.Epoch || m.latestAt.IsZero() {
		return
	}
	switch c.Kind {
	case held.KindHold:
		s.Held = c.Step
	case held.KindArm:
		s.Armed, s.ArmedAt = c.Version, c.Step
	case held.KindGo:
		if s.Held == c.Step {
			s.Held = held.Never
		}
	case held.KindPrepare:
		return
	}
	m.latestAt = m.clock.Now()
}

// giveRequest tells a map by how it differs from the one that it is based on, if
// there is one.
func giveRequest(c *held.Command) *wire.GiveRequest {
	r := commandToWire(c)
	if c.Base != nil {
		r.Base, r.Moves = int64(c.BaseVersion), diffMoves(c.Base, c.Placement)
		if c.BaseVersion == 0 {
			s := c.Placement.Shape
			r.Sets, r.Experts, r.Ranks, r.Places = int32(s.Layers), int32(s.Experts), int32(s.Ranks), int32(s.Slots)
		}
	}
	return r
}
