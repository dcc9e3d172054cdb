package forward

import (
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quota"
)

// Attempt is a request as sent to one replica.
type Attempt struct {
	*RoutedRequest
	Replica *catalog.Replica
	// Timeout is the time that the replica has left to respond, in whole milliseconds.
	Timeout time.Duration
	// LastEventID is the last event that the client has received; empty for none.
	LastEventID EventID
}

// ResponseMetadata is what a response's headers say of the request and the replica.
type ResponseMetadata struct {
	// RequestID is the request that the response belongs to.
	RequestID graniteknot.RequestID
	// Sealed reports that the response carries a replica's seal: no intermediary made it.
	Sealed bool
	// NotRun reports that the replica states that the request did not run and never will.
	NotRun bool
	// WrongReplica reports that another replica has the address now; it implies NotRun.
	WrongReplica bool
	// RetryAfter is how long, from the response on, this process is to send the replica no
	// requests; 0 if it does not say.
	RetryAfter time.Duration
	// Leaving reports that the replica announces a planned shutdown.
	Leaving bool
	// RateLimit is what the replica accepts from all processes together.
	RateLimit quota.StatedLimit
	// Warmup is how long the replica is cold.
	Warmup quota.StatedWarmup
}

// Codec encodes requests to replicas and decodes the metadata of their responses.
type Codec interface {
	// Head returns the head of an attempt's HTTP request, with the empty line.
	Head(a *Attempt) []byte
	// Marks decodes the metadata of a response.
	Marks(status int, h http.Header) ResponseMetadata
}
