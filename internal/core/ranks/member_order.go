package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// directTry bounds one try of an order to a rank from afar: it takes a way of a
// few milliseconds, or gets no answer at all.
const directTry = 80 * time.Millisecond

// give begins to give an order, and calls done when that has ended.
func (m *Member) give(c *held.Command, now time.Time, done func()) {
	key := call{order: c.Order}
	if !m.begin(key, now) {
		return
	}
	m.calls.Go(func(ctx context.Context) {
		defer done()
		defer m.end(key)
		ctx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		m.note(m.order(ctx, c, now), c)
	})
}

// order gives an order, a hold from the keeper's own box: it is then the
// keeper's box that gave the last order before the group may stand.
func (m *Member) order(ctx context.Context, c *held.Command, now time.Time) held.Result {
	if m.silent(now) || c.Kind == held.KindHold && m.direct != nil {
		return m.orderDirect(ctx, c)
	}
	reply, err := m.doer.Give(ctx, requestOf(c))
	if err == nil && reply.GetUnknownBase() {
		whole := *c
		whole.Base = nil
		reply, err = m.doer.Give(ctx, commandToWire(&whole))
	}
	if err != nil {
		return held.ResultLost
	}
	return held.Result(reply.GetResult())
}

// orderDirect gives an order from afar until it is answered or the time is over.
// The same order again changes nothing if the first was taken.
func (m *Member) orderDirect(ctx context.Context, c *held.Command) held.Result {
	for {
		result, err := tryOnce(ctx, m.direct, c, directTry)
		if err == nil && result != held.ResultLost || ctx.Err() != nil {
			return result
		}
	}
}

// tryOnce gives an order once. One that gets no answer takes all of the time,
// also where it fails at once, so that the next try does not follow too soon.
func tryOnce(ctx context.Context, rank held.Rank, c *held.Command, d time.Duration) (held.Result, error) {
	short, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	result, err := rank.Order(short, c)
	if result == held.ResultLost {
		<-short.Done()
	}
	return result, err
}

// note takes in what became of an order.
func (m *Member) note(r held.Result, c *held.Command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch r {
	case held.ResultFenced:
		m.fenced = max(m.fenced, c.Fence+1)
	case held.ResultConflict:
		m.answered = true
	case held.ResultDone:
		m.answered = true
		m.carriedOut(c)
	case held.ResultLost:
	}
}

// carriedOut takes in that the rank has done an order: its word is as good as a
// look, and comes at once. Looks that began before it are not kept.
func (m *Member) carriedOut(c *held.Command) {
	s := &m.last.state
	if s.Epoch != c.Epoch || m.lookedAt.IsZero() {
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
	m.lookedAt = m.clock.Now()
}

// requestOf tells a map by how it differs from the one that it is based on, if
// there is one.
func requestOf(c *held.Command) *wire.GiveRequest {
	r := commandToWire(c)
	if c.Base != nil {
		r.Base, r.Moves = int64(c.BaseVersion), difference(c.Base, c.Placement)
		if c.BaseVersion == 0 {
			s := c.Placement.Shape
			r.Sets, r.Experts, r.Ranks, r.Places = int32(s.Layers), int32(s.Experts), int32(s.Ranks), int32(s.Slots)
		}
	}
	return r
}
