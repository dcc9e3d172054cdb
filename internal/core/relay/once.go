package relay

import (
	"context"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/route"
)

// once takes a request that may not be repeated to its authority. Only after
// proof that it never ran, and only when this entry made the key, is another
// authority asked.
func (n *run) once(ctx context.Context) Result {
	last := ended{end: endUnreached, reason: "no target"}
	for first := true; ctx.Err() == nil; first = false {
		if !first && !n.mayRetry(last) {
			break
		}
		a, ok := n.authority(ctx)
		if !ok {
			return n.noAuthority(last)
		}
		var proved bool
		if n.quarantined() && a.chosen {
			return n.result(graniteknot.OutcomeNotRun, CodeEndsTargets, last.reason)
		}
		last, proved = n.ask(ctx, a)
		n.noteEnd(a.address, last)
		if result, done := n.settledOnce(last); done {
			return result
		}
		if !proved {
			return n.result(graniteknot.OutcomeUnknown, codeOf(ctx, last), last.reason)
		}
		if !a.chosen || len(n.tried) >= maxAttempts {
			break
		}
		n.tried = append(n.tried, a.address)
	}
	return n.result(graniteknot.OutcomeNotRun, codeOf(ctx, last), last.reason)
}

// noAuthority ends a request for which there is nobody to ask.
func (n *run) noAuthority(last ended) Result {
	if n.request.Key == "" {
		return n.result(graniteknot.OutcomeNotRun, CodeNoTarget, last.reason)
	}
	return n.result(graniteknot.OutcomeUnknown, CodeNoTarget, "nobody can tell whether an earlier try of this key ran")
}

func (n *run) settledOnce(e ended) (Result, bool) {
	switch e.end {
	case endWhole:
		return n.result(graniteknot.OutcomeAnswered, CodeNone, ""), true
	case endAlready:
		return n.result(graniteknot.OutcomeAnswered, CodeAlreadyAnswered, e.reason), true
	case endCallerGone:
		return n.result(graniteknot.OutcomeUnknown, CodeCallerGone, e.reason), true
	case endBroken:
		return n.result(graniteknot.OutcomeUnknown, CodeBroken, e.reason), true
	case endLost, endNotRun, endUnreached:
	}
	return Result{}, false
}

// authority names the one agent that decides on the request.
func (n *run) authority(ctx context.Context) (authority, bool) {
	q := n.request
	if q.Ticket != nil {
		return authority{
			address: q.Ticket.Address, incarnation: q.Ticket.Incarnation,
			key: q.Key, keyTime: q.Ticket.IssuedAt(),
		}, true
	}
	if q.Key != "" {
		address, ok := homeOf(q)
		return authority{address: address, key: q.Key, keyTime: q.KeyTime}, ok
	}
	choice, ok := n.relay.ChooseAuthority(ctx, q.Service, n.query())
	if !ok {
		return authority{}, false
	}
	return n.attemptAuthority(choice), true
}

// homeOf returns the agent that a key without a ticket falls to: the highest
// hash among the service's claims_at, which never change.
func homeOf(q *Request) (graniteknot.Address, bool) {
	var best graniteknot.Address
	var bestHash uint64
	for _, a := range q.Service.ClaimsAt {
		h := xxhash.Sum64String(string(a) + "\x00" + string(q.Account.Name) + "\x00" + string(q.Key))
		if best == "" || h > bestHash {
			best, bestHash = a, h
		}
	}
	return best, best != ""
}

// ask sends the request to its authority until it has ended or patience ends.
// The second result tells that it is proved not to have run.
func (n *run) ask(ctx context.Context, a authority) (ended, bool) {
	var e ended
	handed := false
	from := graniteknot.Sequence(0)
	wait := firstPause
	for i := range maxRejoins {
		if i > 0 {
			n.relay.rejoined.Add(1)
			if !pause(ctx, wait) {
				break
			}
			wait *= 2
		}
		d := n.dispatch(a)
		d.FromSequence = uint64(from)
		e = n.try(ctx, a.address, d)
		from = max(from, e.next)
		n.done(ctx, a, e)
		handed = handed || e.end != endUnreached
		if e.end == endUnreached && a.chosen && !handed {
			return e, true
		}
		if e.end != endLost && e.end != endUnreached {
			return e, e.end == endNotRun
		}
	}
	return e, n.delivered == 0 && n.withdraw(ctx, a) == graniteknot.OutcomeNotRun
}

// done tells the table about a dispatch to a target that the table chose.
func (n *run) done(ctx context.Context, a authority, e ended) {
	result := resultOf(ctx, e)
	if !a.chosen && result != route.ResultFailed {
		result = route.ResultCancelled
	}
	n.table().Done(a.address, result, n.relay.now())
}
