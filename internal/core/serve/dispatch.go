package serve

import (
	"context"

	"graniteknot.org/go/claim"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/wire"
)

// Send passes one chunk to the entry.
type Send func(*wire.Chunk) error

// Dispatch takes one attempt and sends its chunks until it has ended. It
// returns an error only when a chunk could not be sent or ctx is done.
func (a *Agent) Dispatch(ctx context.Context, d *wire.Dispatch, send Send) error {
	a.observe(d.GetClock())
	a.counts.dispatched.Add(1)
	request := claimRequest(d.GetClaim())
	verdict, reason := a.admit(request, d)
	a.note(timeline.KindClaimed, d, verdict.String()+" "+reason)
	switch verdict {
	case claim.VerdictStart:
		j := a.begin(request.ID, d)
		a.group.Go(func(context.Context) { a.run(j) })
		return a.follow(ctx, j, d, send)
	case claim.VerdictJoin, claim.VerdictAnswered:
		if j := a.join(request.ID); j != nil {
			return a.follow(ctx, j, d, send)
		}
		return a.end(d, send, withoutAnswer(verdict), "the answer is no longer kept")
	case claim.VerdictNever:
		a.counts.refused.Add(1)
		return a.end(d, send, wire.Chunk_NOT_RUN, reason)
	case claim.VerdictMaybe:
		return a.end(d, send, wire.Chunk_BROKEN, "an earlier try, or a former life of this agent, may have run it")
	case claim.VerdictMismatch:
		return a.end(d, send, wire.Chunk_BROKEN, "the key stands for another request body")
	}
	return a.end(d, send, wire.Chunk_BROKEN, "undecided")
}

func withoutAnswer(v claim.Verdict) wire.Chunk_Kind {
	if v == claim.VerdictAnswered {
		return wire.Chunk_ALREADY
	}
	return wire.Chunk_BROKEN
}

// admit claims the request, or buries it where the agent takes no new work,
// so that no copy of it starts later either.
func (a *Agent) admit(request claim.Request, d *wire.Dispatch) (claim.Verdict, string) {
	if a.Leaving() {
		return a.Claims.Withdraw(a.now(), request), "leaving"
	}
	if reason := a.assigned(d.GetClaim()); reason != "" {
		return a.Claims.Withdraw(a.now(), request), reason
	}
	return a.Claims.Admit(a.now(), request), ""
}

// follow sends a job's pieces from where the entry is.
func (a *Agent) follow(ctx context.Context, j *job, d *wire.Dispatch, send Send) error {
	defer a.left(j)
	at := d.GetFromSequence()
	if at == 0 {
		at = 1
		if err := send(a.chunk(d, 0, wire.Chunk_STARTED)); err != nil {
			return err
		}
	}
	for {
		piece, ok, err := j.flight.Wait(ctx, int(at)-1)
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		c := a.chunk(d, at, wire.Chunk_DATA)
		c.Data = piece.Data
		c.Status = int32(piece.Status)
		c.Header = headerFields(piece.Header)
		if err := send(c); err != nil {
			return err
		}
		at++
	}
	ending, _ := j.flight.Ended()
	kind, reason := endOf(ending)
	last := a.chunk(d, at, kind)
	last.Reason = reason
	return send(last)
}

// end sends the only chunk of an attempt that is not followed.
func (a *Agent) end(d *wire.Dispatch, send Send, kind wire.Chunk_Kind, reason string) error {
	c := a.chunk(d, d.GetFromSequence(), kind)
	c.Reason = reason
	return send(c)
}

func (a *Agent) chunk(d *wire.Dispatch, at uint64, kind wire.Chunk_Kind) *wire.Chunk {
	c := &wire.Chunk{Request: d.GetRequest(), Attempt: d.GetAttempt(), Sequence: at, Kind: kind}
	if kind != wire.Chunk_DATA {
		c.Load = a.Report()
		c.Clock = a.stamp()
	}
	return c
}
