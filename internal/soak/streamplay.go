package soak

import (
	"cmp"
	"context"
	"time"

	"graniteknot.org/go/internal/group"
)

const (
	// rowStreams is the number of streams in a row, rowCallers that of callers among which they are divided, and
	// rowReplicas that of replicas.
	rowStreams  = 840
	rowCallers  = 24
	rowReplicas = 9
	// rowFaultsSpan is for how long gateways have faults.
	rowFaultsSpan = 6 * time.Second
)

// StreamResult is the outcome of a row of streams.
type StreamResult struct {
	// Streams is the number of streams that a response began, of all Called. Whole arrived whole and are known to
	// be; Wrong are out of order or seemed whole too early.
	Called, Streams, Whole, Wrong int
	Findings                      []Finding
}

// RunStreams runs a row of streams.
func RunStreams(ctx context.Context, o Options, name string) (*StreamResult, error) {
	row, err := streamRowNamed(name)
	if err != nil {
		return nil, err
	}
	o.Gateways, o.Replicas, o.Streams = cmp.Or(o.Gateways, 3), cmp.Or(o.Replicas, rowReplicas), true
	w, err := newWorld(&o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	w.streams.draw = row.plan
	gateways, err := start(ctx, &o, w)
	defer func() {
		for _, g := range gateways {
			g.close()
		}
	}()
	if err != nil {
		return nil, err
	}
	if !serving(ctx, w, gateways, "before") {
		return nil, errNeverServed
	}
	var load group.Group
	callers := make([]*streamCaller, cmp.Or(row.callers, rowCallers))
	for i := range callers {
		callers[i] = newStreamCaller(i, o.Seed, w, row.draw)
		load.Go(func(context.Context) { callers[i].run(ctx, gateways, rowStreams/len(callers)) })
	}
	o.Span = 0
	injectFaults(ctx, &o, row.faults(gateways))
	load.Wait()
	out := &StreamResult{}
	for _, c := range callers {
		for _, x := range c.calls {
			out.add(x, w.streams.runsOf(x.body))
		}
	}
	return out, nil
}

// add counts a stream.
func (r *StreamResult) add(x *streamCall, runs []streamRun) {
	r.Called++
	if x.requests[0].isStream {
		r.Streams++
	}
	if x.whole() {
		r.Whole++
	}
	if found := x.checkOrder(runs); len(found) > 0 {
		r.Wrong++
		r.Findings = append(r.Findings, found...)
	}
}
