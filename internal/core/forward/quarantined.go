package forward

import (
	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/quarantine"
)

// Bounds on attempts and on retries end with a try of a request, and a caller's next try
// has another id. A request that ends replicas would go on through all of them, each time at
// the cost of a lock-step group's stand. So what is learnt of it is kept under what all its tries
// have in common, and looked at before each attempt, whichever process learnt it.

// key returns what makes the request the same as another.
func (r *run) key() quarantine.Key {
	if r.identity == nil {
		account := graniteknot.Account("")
		if r.job.Account != nil {
			account = r.job.Account.Name
		}
		key := quarantine.KeyOf(r.job.Path, account, r.job.Body)
		r.identity, r.result.Identity = &key, key.String()
	}
	return *r.identity
}

// quarantined tells whether the request is kept from replicas.
func (r *run) quarantined() bool {
	q := r.f.Quarantine
	return q != nil && !q.Empty() && q.Blocked(r.key(), r.f.Clock.Now())
}

// acquire waits for a place at a replica; nil when there is none in time, or the request
// is kept from replicas meanwhile.
func (r *run) acquire() *fleet.Lease {
	ctx := r.ctx
	if q := r.f.Quarantine; q != nil && !q.Empty() {
		while, done := q.CancelOnBlock(ctx, r.key(), r.f.Clock.Now())
		defer done()
		ctx = while
	}
	return r.f.Fleet.Acquire(ctx, r.query(), r.waiting())
}

// answered notes a request that a replica answered: whatever ended others, or will, was not it.
func (r *run) answered() {
	q := r.f.Quarantine
	if r.result.Outcome == graniteknot.OutcomeAnswered && q != nil {
		q.RecordResponse(r.key(), r.f.Clock.Now())
	}
}
