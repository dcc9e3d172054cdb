package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/route"
)

// run is one request under way. It is used by one goroutine.
type run struct {
	relay   *Relay
	request *Request
	sink    Sink
	// attempt numbers the dispatches; each has its own number, so that chunks
	// of an earlier one can be told apart.
	attempt graniteknot.Attempt
	// delivered counts the pieces that went to the caller.
	delivered graniteknot.Tokens
	// sinkErr is set once the caller is gone.
	sinkErr error
	tried   []graniteknot.Address
	digest  uint64
}

// authority is the agent that decides on a request.
type authority struct {
	address     graniteknot.Address
	incarnation graniteknot.Incarnation
	key         graniteknot.Key
	keyTime     time.Time
	// chosen tells that this entry made the key, so that no other entry can
	// have sent it.
	chosen bool
}

func (n *run) result(o graniteknot.Outcome, c Code, reason string) Result {
	return Result{Outcome: o, Code: c, Reason: reason}
}

func (n *run) note(kind timeline.Kind, detail string) {
	if n.relay.Timeline == nil {
		return
	}
	n.relay.Timeline.Add(timeline.Event{Kind: kind, Request: n.request.ID, Attempt: n.attempt, Detail: detail})
}

func (n *run) table() *route.Table { return n.relay.RouteTables.Table(n.request.Service) }

func (n *run) query() *route.Query {
	return &route.Query{
		Prefixes: n.request.Prefixes, PrefillTime: n.request.PrefillTime,
		Zone: n.relay.Zone, Tried: n.tried, Now: n.relay.now(),
	}
}

// dispatch makes the message of the next attempt.
func (n *run) dispatch(a authority) *wire.Dispatch {
	q := n.request
	n.attempt++
	n.relay.attempts.Add(1)
	d := &wire.Dispatch{
		Request: string(q.ID), Attempt: uint32(n.attempt), Claim: n.claim(a),
		Body: q.Body, Priority: int32(q.Priority), Cost: int64(q.Cost),
		Method: q.Method, Path: q.Path, RequestRate: q.Account.RequestRate,
	}
	for name, values := range q.Header {
		for _, v := range values {
			d.Header = append(d.Header, &wire.Field{Name: name, Value: v})
		}
	}
	return d
}

func (n *run) claim(a authority) *wire.Claim {
	q := n.request
	if n.digest == 0 {
		n.digest = xxhash.Sum64(q.Body) ^ xxhash.Sum64String(q.Method+" "+q.Path)
	}
	c := &wire.Claim{
		Service: string(q.Service.Name), Partner: string(q.Service.Partner), Account: string(q.Account.Name),
		Key: string(a.key), Incarnation: uint64(a.incarnation), Repeatable: q.Repeatable,
		CallersKey: !a.chosen, Try: q.Try, BodyDigest: n.digest, UntilMs: q.Deadline.UnixMilli(),
	}
	if !a.keyTime.IsZero() {
		c.KeyTimeMs = a.keyTime.UnixMilli()
	}
	return c
}

// pause waits before another try; false when the time is up.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// withdraw asks an authority until it answers or patience ends, and returns
// what may be told the caller.
func (n *run) withdraw(ctx context.Context, a authority) graniteknot.Outcome {
	ctx = context.WithoutCancel(ctx)
	n.relay.withdrawn.Add(1)
	for range withdrawTries {
		request := &wire.WithdrawRequest{Claim: n.claim(a), Clock: n.relay.stamp()}
		bounded, cancel := context.WithTimeout(ctx, withdrawTime)
		reply, err := n.relay.Agents.Withdraw(bounded, a.address, request)
		cancel()
		if err != nil {
			pause(ctx, firstPause)
			continue
		}
		n.relay.observe(reply.GetClock())
		n.note(timeline.KindWithdrawn, reply.GetVerdict().String())
		if reply.GetVerdict() == wire.WithdrawReply_NEVER {
			return graniteknot.OutcomeNotRun
		}
		return graniteknot.OutcomeUnknown
	}
	return graniteknot.OutcomeUnknown
}
