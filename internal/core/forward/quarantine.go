package forward

import (
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/quarantine"
)

// Limits on attempts and retries apply to one request ID, and a client that retries uses
// another one. A request that crashes replicas would crash them all in turn, and stall a
// lock-step group each time; so would requests of many clients that share a part of their
// prompts. Crashes are therefore recorded under a key of the request's content and under
// those of its prompt's parts, shared among processes, and checked before each attempt.

// survivalTime is how long after its first event a stream must break off, while its replica
// still accepts connections, to show that the request did not crash the replica.
const survivalTime = 500 * time.Millisecond

// subject returns what the request shares with its retries and with other requests.
func (r *inflightRequest) subject() *quarantine.Subject {
	if r.cachedSubject == nil {
		account := graniteknot.Account("")
		if r.request.Account != nil {
			account = r.request.Account.Name
		}
		s := &quarantine.Subject{Request: quarantine.KeyOf(r.request.Path, account, r.request.Body)}
		if len(r.request.PromptParts) > 0 {
			s.Parts = make([]quarantine.Key, len(r.request.PromptParts))
			for i, part := range r.request.PromptParts {
				s.Parts[i] = quarantine.KeyOfPart(r.request.Model, part.ID, part.Tokens)
			}
		}
		r.cachedSubject, r.result.Identity = s, s.Request.String()
	}
	return r.cachedSubject
}

// blocked reports whether the request must not reach replicas.
func (r *inflightRequest) blocked() bool {
	q := r.f.Quarantine
	if q == nil || q.Empty() || r.trial {
		return false
	}
	s := r.subject()
	key := q.BlockedKey(s, r.f.Clock.Now())
	if key == nil {
		return false
	}
	if r.result.Attempts == 0 && q.Trial(s, r.f.Clock.Now()) {
		r.trial = true
		return false
	}
	r.result.BlockedPart = r.partOf(key)
	return true
}

// partOf returns the part of the prompt that a key of the request's subject belongs to; empty
// for the request's own key.
func (r *inflightRequest) partOf(key *quarantine.Key) string {
	for i := range r.cachedSubject.Parts {
		if key == &r.cachedSubject.Parts[i] {
			return r.request.PromptParts[i].String()
		}
	}
	return ""
}

// acquire waits for a lease on a replica; nil if there is none in time, or if the request is
// blocked meanwhile.
func (r *inflightRequest) acquire() *fleet.Lease {
	ctx := r.ctx
	if q := r.f.Quarantine; q != nil && !r.trial {
		unblocked, done := q.CancelOnBlock(ctx, r.subject(), r.f.Clock.Now())
		defer done()
		ctx = unblocked
	}
	return r.f.Fleet.Acquire(ctx, r.query(), r.waitBounds())
}

// recordAnswered releases an answered request: it does not cause crashes of other replicas.
// The end of a response that ends with its connection may also be that of its replica.
func (r *inflightRequest) recordAnswered() {
	q := r.f.Quarantine
	if q == nil || r.result.Outcome != graniteknot.OutcomeAnswered || r.result.Status >= http.StatusInternalServerError {
		return
	}
	now := r.f.Clock.Now()
	q.RecordResponse(r.subject().Request, now)
	if !r.unframed {
		q.RecordSurvival(r.subject().Parts, now)
	}
}

// survived reports whether the current attempt's stream, which broke off, went on for long
// enough to show that the request does not crash its replica.
func (r *inflightRequest) survived() bool {
	return !r.attemptStartedAt.IsZero() && r.f.Clock.Since(r.attemptStartedAt) >= survivalTime
}
