package graniteknot

import "time"

// Partner names one of the parties that share the pool.
type Partner string

// Account names a client account inside a partner's branch.
type Account string

// Service names a model or a plain service.
type Service string

// BoxName names a machine.
type BoxName string

// AvailabilityZone names the failure domain that a box stands in.
type AvailabilityZone string

// Address is an IP number and port, "127.0.0.1:8080".
type Address string

// RequestID names one request of a caller over all its attempts.
type RequestID string

// Key is the caller's idempotency key, or a key made by the entry when the
// caller gave none.
type Key string

// Attempt numbers the tries of one request, from 1.
type Attempt uint32

// Sequence numbers the chunks of one attempt, from 0 and without gaps.
type Sequence uint64

// Offset is a position in the platform's log. The first record has offset 1;
// 0 means "before the first record".
type Offset int64

// Incarnation tells one life of a process from the next at the same address.
// It is the start time in microseconds since the epoch; 0 means "any".
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at t.
func NewIncarnation(t time.Time) Incarnation {
	return Incarnation(t.UnixMicro())
}

// Born is when a replica's life began by its own clock, in milliseconds since the epoch; 0
// where it does not say. It tells lives apart and orders nothing, since clocks of the day
// jump.
type Born int64

// Tokens counts model tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// Step numbers the lock-step iterations of a rank group, from 1.
type Step uint64

// Rank numbers the members of a rank group, from 0.
type Rank int

// Expert numbers the experts of a layer, from 0.
type Expert int

// Layer numbers the mixture layers of a model, from 0.
type Layer int

// Priority orders work inside a partner; larger goes first.
type Priority int32

// The priorities that settings may name.
const (
	PriorityNormal Priority = 0
	PriorityUrgent Priority = 1
)
