package soak

import (
	"context"
	"strings"
	"time"
)

// streamKind is how a caller of a stream behaves.
type streamKind uint8

const (
	streamPlain streamKind = iota
	// streamResumes resumes a broken stream by itself at another gateway.
	streamResumes
	// streamLeaves closes its connection midway.
	streamLeaves
	// streamSlow reads slowly.
	streamSlow
	// streamHTTP10 speaks HTTP/1.0, where a whole response ends with an orderly close.
	streamHTTP10
)

// maxResumptions is how often a caller resumes a stream.
const maxResumptions = 4

// streamCall is a stream as its caller received it, over all resumptions of its own.
type streamCall struct {
	body string
	kind streamKind
	// once is a stream that may not be resumed.
	once bool
	key  *key
	// deadline is how long the caller waits; zero for longer than any stream lasts.
	deadline time.Duration
	// leaveAfter is after how many bytes a caller leaves.
	leaveAfter int

	requests []*streamRequest
	held     string
	complete bool
	// sound reports whether the stream ran once, without a fault, at a replica that had not ended when the caller
	// had its response.
	sound bool
}

// path returns the path of the stream's requests.
func (x *streamCall) path() string {
	if x.once {
		return streamPath + "-once/x"
	}
	return streamPath + "/x"
}

// play sends the stream's request to a gateway, and resumes it at the others if the caller does so.
func (x *streamCall) play(ctx context.Context, plans *streamPlans, gateways []*process, first int) {
	defer func() {
		runs := plans.runsOf(x.body)
		x.sound = len(runs) == 1 && runs[0].sound()
	}()
	for i := range 1 + maxResumptions {
		r := &streamRequest{call: x, number: i, gateway: gateways[(first+i)%len(gateways)], lastID: strings.Count(x.held, "\n\n")}
		r.send(ctx)
		x.requests = append(x.requests, r)
		if r.isStream {
			x.held, x.complete = x.held+r.body, r.complete
		}
		if x.complete || x.kind != streamResumes || x.once || ctx.Err() != nil {
			return
		}
		// A caller drops an event that it has only a part of.
		if end := strings.LastIndex(x.held, "\n\n"); end >= 0 {
			x.held = x.held[:end+2]
		} else {
			x.held = ""
		}
	}
}

// whole reports whether the caller has the whole stream, and knows so.
func (x *streamCall) whole() bool { return x.complete && x.held == wholeStream(x.body) }
