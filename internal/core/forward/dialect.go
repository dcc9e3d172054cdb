package forward

import (
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// Attempt is a request as it goes to one replica.
type Attempt struct {
	*RoutedRequest
	Replica *catalog.Replica
	// Timeout is the time that the replica has.
	Timeout time.Duration
	// LastEventID is the last event that the caller has; empty for none.
	LastEventID EventID
}

// ResponseMetadata are what an answer says beside its status and body.
type ResponseMetadata struct {
	// RequestID is the request that the answer belongs to.
	RequestID graniteknot.RequestID
	// Sealed answers are a replica's own.
	Sealed bool
	// NotRun is the replica's word that the request did not run and never will.
	NotRun bool
	// WrongReplica tells that another replica has the address; it implies NotRun.
	WrongReplica bool
	// RetryAfter is for how long the replica wants nothing from this process, from the answer
	// on; 0 when it does not say.
	RetryAfter time.Duration
	// Leaving is the replica's word that it will end as planned.
	Leaving bool
	// RateLimit is what the replica takes from all processes together.
	RateLimit quota.Word
}

// Codec writes requests to replicas and reads their answers' marks.
type Codec interface {
	// Head returns the head of an attempt, with the empty line.
	Head(a *Attempt) []byte
	// Marks reads what an answer says.
	Marks(status int, h http.Header) ResponseMetadata
}
