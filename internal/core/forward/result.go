package forward

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// Reason says why a request has no answer.
type Reason string

// The reasons.
const (
	ReasonNone Reason = ""
	// ReasonStaleConfig is a configuration that is too old to trust a key.
	ReasonStaleConfig Reason = "stale-configuration"
	// ReasonNoReplica is a service without a usable replica.
	ReasonNoReplica Reason = "no-replica"
	// ReasonBusy is a service whose replicas have no room in time.
	ReasonBusy Reason = "busy"
	// ReasonRefused is a replica's word that it did not run the request.
	ReasonRefused Reason = "refused-by-replica"
	// ReasonUnreachable are replicas that could not be connected to.
	ReasonUnreachable Reason = "unreached"
	// ReasonResponseLost is an answer that did not come, or not whole.
	ReasonResponseLost Reason = "answer-lost"
	// ReasonInvalidResponse is an answer that can't be trusted.
	ReasonInvalidResponse Reason = "answer-spoiled"
	// ReasonTimeout is the end of the request's time.
	ReasonTimeout Reason = "timeout"
	// ReasonClientGone is a caller that left.
	ReasonClientGone Reason = "caller-gone"
	// ReasonReplicaSilent is a replica that was cut off, whose request was moved.
	ReasonReplicaSilent Reason = "replica-silent"
	// ReasonQuarantined is a request that ends the replicas that run it.
	ReasonQuarantined Reason = "ends-replicas"
	// ReasonReplicaBackoff are replicas that all asked this process for rest.
	ReasonReplicaBackoff Reason = "replicas-rest"
	// ReasonRateLimited are replicas that all named a limit, of which this process has no part now.
	ReasonRateLimited Reason = "replicas-limited"
	// ReasonRetryBudget is an empty retry budget.
	ReasonRetryBudget Reason = "retry-budget"
)

// Result is how a request ended.
type Result struct {
	Outcome graniteknot.Outcome
	Reason  Reason
	// ResponseStarted tells that a part of the answer was passed on.
	ResponseStarted bool
	// RetryAfter is when to come back, for requests that did not run.
	RetryAfter time.Duration
	// Status is the answer's, 0 without one.
	Status   int
	Attempts int
	// FirstByte is the time from arrival to the first byte of the answer.
	FirstByte time.Duration
	// MaxPause is the longest time between two parts of a stream.
	MaxPause time.Duration
	// MaxPauseAt is when the longest one ended, from arrival on.
	MaxPauseAt time.Duration
	// SinceFirstTry is how long before this try at least its caller first tried; 0 where this may
	// be the first.
	SinceFirstTry time.Duration
	// Identity is the same for all requests that are the same but for their ids; empty
	// where it was not needed.
	Identity string
	// Replica is the last one asked.
	Replica string
}
