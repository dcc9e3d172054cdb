package relay

import (
	"context"
	"errors"
	"fmt"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/route"
)

// repeatable tries one target after another. Each attempt has a key of its
// own, so that a late copy of one can't meet another.
func (n *run) repeatable(ctx context.Context) Result {
	var open []authority
	last := ended{end: endUnreached, reason: "no target"}
	for n.attempt < maxAttempts && ctx.Err() == nil {
		if n.quarantined() {
			return n.giveUpAs(ctx, open, CodeEndsTargets, last.reason)
		}
		if n.attempt > 0 && !n.mayRetry(last) {
			break
		}
		choice, ok := n.relay.ChooseAuthority(ctx, n.request.Service, n.query())
		if !ok {
			break
		}
		a := n.attemptAuthority(choice)
		d := n.dispatch(a)
		d.ResumeAfter = int64(n.delivered)
		if n.delivered > 0 {
			n.relay.resumed.Add(1)
			n.note(timeline.KindResumed, fmt.Sprintf("after %d", n.delivered))
		}
		last = n.try(ctx, choice.Address, d)
		n.table().Done(choice.Address, resultOf(ctx, last), n.relay.now())
		n.noteEnd(choice.Address, last)
		if result, done := n.settled(last); done {
			return result
		}
		if last.end == endLost || last.end == endBroken {
			open = append(open, a)
		}
		n.tried = append(n.tried, choice.Address)
	}
	return n.giveUp(ctx, open, last)
}

// resultOf keeps the caller's own leaving from counting against the target.
func resultOf(ctx context.Context, e ended) route.Result {
	if ctx.Err() != nil {
		return route.ResultCancelled
	}
	return e.verdict()
}

func (n *run) attemptAuthority(c route.Choice) authority {
	return authority{
		address: c.Address, incarnation: c.Incarnation, chosen: true, keyTime: n.relay.now(),
		key: graniteknot.Key(fmt.Sprintf("%s/%d", n.request.ID, n.attempt+1)),
	}
}

// settled tells whether an end is the request's end.
func (n *run) settled(e ended) (Result, bool) {
	switch e.end {
	case endWhole:
		return n.result(graniteknot.OutcomeAnswered, CodeNone, ""), true
	case endCallerGone:
		return n.result(graniteknot.OutcomeUnknown, CodeCallerGone, e.reason), true
	case endAlready:
		return n.result(graniteknot.OutcomeAnswered, CodeAlreadyAnswered, e.reason), true
	case endLost, endNotRun, endBroken, endUnreached:
		if n.delivered > 0 && n.request.plain() {
			// Bytes of a plain service's answer can't be gone on from.
			return n.result(graniteknot.OutcomeUnknown, CodeBroken, e.reason), true
		}
	}
	return Result{}, false
}

// mayRetry asks the budget. Being refused by an agent that is well counts like
// any other retry: at overload it would only add load.
func (n *run) mayRetry(e ended) bool {
	return e.end == endUnreached || n.relay.Budget.Withdraw()
}

// giveUp ends a request without an answer. What may still be running or on
// its way is withdrawn; only if all of it is proved not to have run, and
// nothing was delivered, is the word "not-run".
func (n *run) giveUp(ctx context.Context, open []authority, last ended) Result {
	return n.giveUpAs(ctx, open, codeOf(ctx, last), last.reason)
}

func (n *run) giveUpAs(ctx context.Context, open []authority, code Code, reason string) Result {
	outcome := graniteknot.OutcomeNotRun
	if n.delivered > 0 {
		outcome = graniteknot.OutcomeUnknown
	}
	for _, a := range open {
		// An agent whose life was not named may have taken a late copy of what
		// its former life ran.
		if n.withdraw(ctx, a) != graniteknot.OutcomeNotRun || a.incarnation == 0 {
			outcome = graniteknot.OutcomeUnknown
		}
	}
	return n.result(outcome, code, reason)
}

func codeOf(ctx context.Context, e ended) Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return CodeCancelled
	}
	if ctx.Err() != nil {
		return CodeDeadline
	}
	switch e.end {
	case endNotRun:
		return CodeOverloaded
	case endUnreached:
		return CodeUnreachable
	case endLost, endBroken, endWhole, endAlready, endCallerGone:
		return CodeBroken
	}
	return CodeBroken
}
