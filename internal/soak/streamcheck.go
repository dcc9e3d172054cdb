package soak

import (
	"fmt"
	"strings"
)

// checkStreams checks what callers received of streams.
func checkStreams(w *world, ran map[string][]run) []Finding {
	var out []Finding
	for _, x := range w.streamCalls {
		runs := w.streams.runsOf(x.body)
		add := func(promise, format string, args ...any) {
			out = append(out, Finding{promise, x.body, fmt.Sprintf(format, args...) + "; " + x.describe(runs)})
		}
		out = append(out, x.checkOrder(runs)...)
		total := 0
		for _, r := range x.requests {
			total += len(ran[r.id()])
			if x.once && len(ran[r.id()]) > 0 && saysNotRun(r.status) {
				add("not run means not run", "answered %d", r.status)
			}
		}
		if x.once && total > 1 {
			add("at most once", "a stream ran %d times", total)
		}
		if total == 1 && x.mustBeWhole() && !x.whole() {
			add("a sound stream ends whole", "ended after %v", x.requests[0].ended.Sub(x.requests[0].sent))
		}
	}
	return out
}

// checkOrder checks that the caller holds a prefix of the stream, and takes only the whole one for complete.
func (x *streamCall) checkOrder(runs []streamRun) []Finding {
	whole := wholeStream(x.body)
	if !strings.HasPrefix(whole, x.held) {
		return []Finding{{"events of a stream are in order", x.body, x.describe(runs)}}
	}
	last := x.requests[len(x.requests)-1]
	if x.complete && x.held != whole && (x.kind != streamHTTP10 || !last.killed) {
		return []Finding{{"a stream that ends is whole", x.body, x.describe(runs)}}
	}
	return nil
}

// mustBeWhole reports whether nothing may have kept the stream from its caller.
func (x *streamCall) mustBeWhole() bool {
	return x.sound && len(x.requests) == 1 && x.kind != streamLeaves && x.deadline == 0 && x.requests[0].stable
}

// describe returns the requests, plans and what was received, for findings.
func (x *streamCall) describe(runs []streamRun) string {
	var b strings.Builder
	fmt.Fprintf(&b, "caller of kind %d, once %t, deadline %v, complete %t", x.kind, x.once, x.deadline, x.complete)
	for _, r := range x.requests {
		fmt.Fprintf(&b, "; %s at %s from %s: %d after %v, last ID %d, complete %t", r.id(), r.gateway.box, r.sent.Format("15:04:05.000"), r.status, r.ended.Sub(r.sent), r.lastID, r.complete)
	}
	for _, r := range runs {
		fmt.Fprintf(&b, "; plan at %s: fault %d after %d, unframed %t", r.at.ID, r.plan.Fault, r.plan.After, r.plan.Unframed)
	}
	fmt.Fprintf(&b, "; holds %q", x.held)
	return b.String()
}
