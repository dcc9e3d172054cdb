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
	// linkDelay is the latency between availability zones, callOverhead the size of the
	// headers of a request or a reply.
	linkDelay    = 1400 * time.Microsecond
	callOverhead = 250
)

// simulatedLinks simulates the links of all boxes. Each link carries one message at a time
// in each direction.
type simulatedLinks struct {
	mu    sync.Mutex
	boxes []boxLink
	// calls and bytes count calls between different boxes and their traffic.
	calls, bytes int
}

type boxLink struct {
	sendsUntil, receivesUntil time.Time
	// sent and received count bytes.
	sent, received int
}

func newSimulatedLinks(n int) *simulatedLinks { return &simulatedLinks{boxes: make([]boxLink, n)} }

// transmit waits until a message has arrived at another box; false when ctx ended first.
func (l *simulatedLinks) transmit(ctx context.Context, from, to int, m proto.Message) bool {
	if from == to {
		return true
	}
	size := proto.Size(m) + callOverhead
	took := time.Duration(float64(size) / linkRate * float64(time.Second))
	l.mu.Lock()
	now := time.Now()
	l.bytes += size
	sender, receiver := &l.boxes[from], &l.boxes[to]
	sender.sent += size
	receiver.received += size
	sender.sendsUntil = latest(sender.sendsUntil, now).Add(took)
	receiver.receivesUntil = latest(receiver.receivesUntil, sender.sendsUntil.Add(linkDelay-took)).Add(took)
	arrives := receiver.receivesUntil
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// busiest returns the most bytes that any box sent or received.
func (l *simulatedLinks) busiest() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := 0
	for _, b := range l.boxes {
		out = max(out, b.sent, b.received)
	}
	return out
}

// totals returns the number of calls between boxes and their traffic in bytes.
func (l *simulatedLinks) totals() (calls, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.bytes
}

// reset sets all counts to 0.
func (l *simulatedLinks) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.boxes {
		l.boxes[i].sent, l.boxes[i].received = 0, 0
	}
	l.calls, l.bytes = 0, 0
}

// linkedRanks is a client for another box's sidecar over the simulated links.
type linkedRanks struct {
	wire.Ranks
	links    *simulatedLinks
	from, to int
}

// call makes a call over the links.
func call[Q, R proto.Message](ctx context.Context, l *linkedRanks, q Q, f func(context.Context, Q) (R, error)) (R, error) {
	var none R
	l.links.mu.Lock()
	l.links.calls++
	l.links.mu.Unlock()
	if !l.links.transmit(ctx, l.from, l.to, q) {
		return none, ctx.Err()
	}
	r, err := f(ctx, q)
	if err != nil {
		return none, err
	}
	if !l.links.transmit(ctx, l.to, l.from, r) {
		return none, ctx.Err()
	}
	return r, nil
}

// Look implements wire.Ranks.
func (l *linkedRanks) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	return call(ctx, l, r, l.Ranks.Look)
}

// LookAll implements wire.Ranks.
func (l *linkedRanks) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	return call(ctx, l, r, l.Ranks.LookAll)
}

// Give implements wire.Ranks.
func (l *linkedRanks) Give(ctx context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	return call(ctx, l, r, l.Ranks.Give)
}

// GiveAll implements wire.Ranks.
func (l *linkedRanks) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	return call(ctx, l, r, l.Ranks.GiveAll)
}

// Sum implements wire.Ranks.
func (l *linkedRanks) Sum(ctx context.Context, r *wire.SumRequest) (*wire.SumReply, error) {
	return call(ctx, l, r, l.Ranks.Sum)
}

// connectOver makes the sidecars call each other over the links.
func (f *fixture) connectOver(l *simulatedLinks) {
	for from, e := range f.executors {
		e.PeerClient = func(address graniteknot.Address) wire.Ranks {
			to, err := strconv.Atoi(string(address))
			if err != nil {
				return nil
			}
			return &linkedRanks{Ranks: f.executors[to], links: l, from: from, to: to}
		}
	}
}
