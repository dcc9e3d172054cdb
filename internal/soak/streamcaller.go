package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"graniteknot.org/go/internal/group"
)

const (
	// streamCallers is the number of callers of streams.
	streamCallers = 6
	// minStreamDeadline and maxStreamDeadline bound deadlines that pass during a stream.
	minStreamDeadline = 60 * time.Millisecond
	maxStreamDeadline = streamEvents * streamPause
	// streamRetryInterval is how long a caller waits after a response that is no stream. maxCallsPerStream bounds how
	// many streams a caller calls for each that begins.
	streamRetryInterval = 100 * time.Millisecond
	maxCallsPerStream   = 4
)

// streamKinds are the kinds of callers, the plain one most often.
var streamKinds = []streamKind{streamPlain, streamPlain, streamPlain, streamResumes, streamResumes, streamHTTP10, streamHTTP10, streamLeaves, streamSlow}

// streamCaller calls one stream after another.
type streamCaller struct {
	name  string
	world *world
	// draw sets what differs between streams.
	draw func(x *streamCall, random *rand.Rand)

	random *rand.Rand
	calls  []*streamCall
}

func newStreamCaller(n int, seed uint64, w *world, draw func(*streamCall, *rand.Rand)) *streamCaller {
	return &streamCaller{name: fmt.Sprint("stream-", n), world: w, draw: draw, random: rand.New(rand.NewPCG(seed, eventStreamsStream+1+uint64(n)))}
}

// run calls streams until ctx is done or responses of a number of them began; zero for no bound.
func (c *streamCaller) run(ctx context.Context, gateways []*process, count int) {
	began := 0
	for i := 0; ctx.Err() == nil && (count == 0 || began < count && i < maxCallsPerStream*count); i++ {
		x := &streamCall{body: fmt.Sprintf("%s-%d", c.name, i), key: c.world.oldestKey()}
		c.draw(x, c.random)
		x.play(ctx, c.world.streams, gateways, c.random.IntN(len(gateways)))
		c.calls = append(c.calls, x)
		if x.requests[0].isStream {
			began++
			continue
		}
		wait(ctx, streamRetryInterval)
	}
}

// drawStreamCall draws any kind of caller.
func drawStreamCall(x *streamCall, random *rand.Rand) {
	x.kind = streamKinds[random.IntN(len(streamKinds))]
	x.once = random.IntN(4) == 0
	x.leaveAfter = 1 + random.IntN(len(wholeStream(x.body)))
	if random.IntN(4) == 0 {
		x.deadline = minStreamDeadline + time.Duration(random.Int64N(int64(maxStreamDeadline-minStreamDeadline)))
	}
}

// oldestKey returns the valid key that gateways have known for longest.
func (w *world) oldestKey() *key {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.keys {
		if k.removed.IsZero() {
			return k
		}
	}
	return w.keys[len(w.keys)-1]
}

// callStreams starts callers of streams.
func (w *world) callStreams(ctx context.Context, seed uint64, gateways []*process, load *group.Group) []*streamCaller {
	var out []*streamCaller
	for i := range streamCallers {
		c := newStreamCaller(i, seed, w, drawStreamCall)
		out = append(out, c)
		load.Go(func(context.Context) { c.run(ctx, gateways, 0) })
	}
	return out
}
