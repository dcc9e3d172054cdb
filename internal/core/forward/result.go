package forward

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// Reason is why a request or an attempt got no response.
type Reason string

// Reasons of requests and attempts.
const (
	ReasonNone Reason = ""
	// ReasonStaleConfig: the configuration is too old to trust an API key.
	ReasonStaleConfig Reason = "stale-configuration"
	// ReasonNoReplica: the service has no usable replica.
	ReasonNoReplica Reason = "no-replica"
	// ReasonNoRegion: the service has no replica in a region that the route and the account allow.
	ReasonNoRegion Reason = "no-replica-in-region"
	// ReasonBusy: no replica of the service had capacity in time.
	ReasonBusy Reason = "busy"
	// ReasonRefused: the replica states that it did not run the request.
	ReasonRefused Reason = "refused-by-replica"
	// ReasonUnreachable: no connection to the replica could be opened.
	ReasonUnreachable Reason = "unreached"
	// ReasonResponseLost: the response is missing or incomplete.
	ReasonResponseLost Reason = "answer-lost"
	// ReasonInvalidResponse: the response cannot be trusted.
	ReasonInvalidResponse Reason = "answer-spoiled"
	// ReasonOversizedResponse: the response exceeds a bound, and may have no end.
	ReasonOversizedResponse Reason = "answer-oversized"
	// ReasonTimeout: the request's deadline or the route's timeout has passed.
	ReasonTimeout Reason = "timeout"
	// ReasonClientGone: the client disconnected.
	ReasonClientGone Reason = "caller-gone"
	// ReasonClientUnread: the client stopped reading the response.
	ReasonClientUnread Reason = "caller-does-not-read"
	// ReasonRequestUnread: the replica stopped reading the request.
	ReasonRequestUnread Reason = "replica-does-not-read"
	// ReasonReplicaSilent: the replica was cut off, so the attempt was aborted for a retry.
	ReasonReplicaSilent Reason = "replica-silent"
	// ReasonQuarantined: the request or a part of its prompt crashes the replicas that run it,
	// or is suspected to.
	ReasonQuarantined Reason = "ends-replicas"
	// ReasonReplicaBackoff: all replicas asked this process to back off.
	ReasonReplicaBackoff Reason = "replicas-rest"
	// ReasonRateLimited: all replicas have a rate limit, and this process has no permit left.
	ReasonRateLimited Reason = "replicas-limited"
	// ReasonStopping: this process is shutting down and might not see the end of the request.
	ReasonStopping Reason = "stopping"
	// ReasonRetryBudget: the retry budget is empty.
	ReasonRetryBudget Reason = "retry-budget"
)

// Result is how a request ended.
type Result struct {
	Outcome graniteknot.Outcome
	Reason  Reason
	// ResponseStarted reports that a part of the response was sent to the client.
	ResponseStarted bool
	// RetryAfter is when the client may retry a request that did not run.
	RetryAfter time.Duration
	// Status is the response's; 0 without one.
	Status   int
	Attempts int
	// FirstByte is the time from arrival to the first byte of the response.
	FirstByte time.Duration
	// MaxPause is the longest time between two writes of a stream.
	MaxPause time.Duration
	// MaxPauseAt is when that pause ended, counted from arrival.
	MaxPauseAt time.Duration
	// SinceFirstTry is the least time since the client first sent the request; 0 if this may
	// be the first try.
	SinceFirstTry time.Duration
	// Identity is the request's quarantine key; empty if it was not needed.
	Identity string
	// BlockedPart is the part of the prompt because of which the request was quarantined;
	// empty if it was not, or for itself.
	BlockedPart string
	// Replica is the one of the last attempt.
	Replica string
}
