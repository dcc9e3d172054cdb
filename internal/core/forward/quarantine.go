package forward

import (
	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/quarantine"
)

// Limits on attempts and retries apply to one request ID, and a client that retries uses
// another one. A request that crashes replicas would crash them all in turn, and stall a
// lock-step group each time. Its crashes are therefore recorded under a key of its content,
// shared among processes, and checked before each attempt.

// quarantineKey returns the key that the request shares with its retries.
func (r *inflightRequest) quarantineKey() quarantine.Key {
	if r.cachedKey == nil {
		account := graniteknot.Account("")
		if r.request.Account != nil {
			account = r.request.Account.Name
		}
		key := quarantine.KeyOf(r.request.Path, account, r.request.Body)
		r.cachedKey, r.result.Identity = &key, key.String()
	}
	return *r.cachedKey
}

// blocked reports whether the request must not reach replicas.
func (r *inflightRequest) blocked() bool {
	q := r.f.Quarantine
	return q != nil && !q.Empty() && q.Blocked(r.quarantineKey(), r.f.Clock.Now())
}

// acquire waits for a lease on a replica; nil if there is none in time, or if the request is
// blocked meanwhile.
func (r *inflightRequest) acquire() *fleet.Lease {
	ctx := r.ctx
	if q := r.f.Quarantine; q != nil && !q.Empty() {
		unblocked, done := q.CancelOnBlock(ctx, r.quarantineKey(), r.f.Clock.Now())
		defer done()
		ctx = unblocked
	}
	return r.f.Fleet.Acquire(ctx, r.query(), r.waitBounds())
}

// recordAnswered releases an answered request: it does not cause crashes of other replicas.
func (r *inflightRequest) recordAnswered() {
	q := r.f.Quarantine
	if r.result.Outcome == graniteknot.OutcomeAnswered && q != nil {
		q.RecordResponse(r.quarantineKey(), r.f.Clock.Now())
	}
}
