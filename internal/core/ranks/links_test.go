package ranks_test

import (
	"context"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
)

const (
	// linkRate is a side box's link of 6 Mbit/s, in bytes a second each way.
	linkRate = 750_000
	// linkDelay is the way between availability zones, callBytes what the heads of a
	// call and of its answer take, each.
	linkDelay = 1400 * time.Microsecond
	callBytes = 250
)

// links are the links of all boxes. Each sends and receives one message after the
// other.
type links struct {
	mu    sync.Mutex
	boxes []linkOf
	// calls counts calls between different boxes, bytes what they took.
	calls, bytes int
}

type linkOf struct {
	sends, receives time.Time
	// sent and received count bytes.
	sent, received int
}

func newLinks(n int) *links { return &links{boxes: make([]linkOf, n)} }

// carry takes as long as a message takes from one box to another; false when ctx
// ended before.
func (l *links) carry(ctx context.Context, from, to int, m proto.Message) bool {
	if from == to {
		return true
	}
	size := proto.Size(m) + callBytes
	took := time.Duration(float64(size) / linkRate * float64(time.Second))
	l.mu.Lock()
	now := time.Now()
	l.bytes += size
	a, b := &l.boxes[from], &l.boxes[to]
	a.sent += size
	b.received += size
	a.sends = later(a.sends, now).Add(took)
	b.receives = later(b.receives, a.sends.Add(linkDelay-took)).Add(took)
	arrives := b.receives
	l.mu.Unlock()
	timer := time.NewTimer(time.Until(arrives))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// most returns the most bytes that any box sent, or received.
func (l *links) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := 0
	for _, b := range l.boxes {
		out = max(out, b.sent, b.received)
	}
	return out
}

// all returns how many calls were made between boxes, and the bytes that they took.
func (l *links) all() (calls, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.bytes
}

// forget sets all counts to 0.
func (l *links) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.boxes {
		l.boxes[i].sent, l.boxes[i].received = 0, 0
	}
	l.calls, l.bytes = 0, 0
}

// linked is a sidecar as another one reaches it over the links.
type linked struct {
	wire.Ranks
	links    *links
	from, to int
}

// call makes a call over the links.
func call[Q, R proto.Message](ctx context.Context, l *linked, q Q, f func(context.Context, Q) (R, error)) (R, error) {
	var none R
	l.links.mu.Lock()
	l.links.calls++
	l.links.mu.Unlock()
	if !l.links.carry(ctx, l.from, l.to, q) {
		return none, ctx.Err()
	}
	r, err := f(ctx, q)
	if err != nil {
		return none, err
	}
	if !l.links.carry(ctx, l.to, l.from, r) {
		return none, ctx.Err()
	}
	return r, nil
}

// Look implements wire.Ranks.
func (l *linked) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	return call(ctx, l, r, l.Ranks.Look)
}

// LookAll implements wire.Ranks.
func (l *linked) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	return call(ctx, l, r, l.Ranks.LookAll)
}

// Give implements wire.Ranks.
func (l *linked) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	return call(ctx, l, r, l.Ranks.Give)
}

// GiveAll implements wire.Ranks.
func (l *linked) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	return call(ctx, l, r, l.Ranks.GiveAll)
}

// Sum implements wire.Ranks.
func (l *linked) Sum(ctx context.Context, r *wire.SumRequest) (*wire.SumReply, error) {
	return call(ctx, l, r, l.Ranks.Sum)
}

// over has the sidecars reach each other over links.
func (b *bench) over(l *links) {
	for from, d := range b.doers {
		d.PeerClient = func(a graniteknot.Address) wire.Ranks {
			to, err := strconv.Atoi(string(a))
			if err != nil {
				return nil
			}
			return &linked{Ranks: b.doers[to], links: l, from: from, to: to}
		}
	}
}
