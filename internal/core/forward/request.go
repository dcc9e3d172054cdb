package forward

import (
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Request is a caller's request.
type Request struct {
	// ID is the caller's, and is passed on as it is.
	ID graniteknot.RequestID
	// Method, Target and Host are the request line's and are passed on as they
	// are; Path is the target without its query.
	Method, Target, Host, Path string
	// Header is what is passed on as it is.
	Header http.Header
	Body   []byte
	// Key proves the account; empty when the caller gave none.
	Key catalog.Secret
	// Arrived is when the head was read; Deadline is zero when there is none.
	Arrived, Deadline time.Time
	// After is the last event that the caller has; empty for none.
	After EventID
	// Size is zero when the caller tells none.
	Size catalog.Size
	// Guess is the caller's guess of the answer's length; 0 for none.
	Guess graniteknot.Tokens
}

// EventID names an event of a stream, in the words of the replica.
type EventID string

// Job is a request with what the configuration says of it.
type Job struct {
	*Request
	Route   *catalog.Route
	Account *catalog.Account
	Service *catalog.Service
	// End is when the request has to be answered: its deadline or the route's
	// timeout; zero when neither bounds it.
	End time.Time
}

// Urgency is the account's, or else the route's.
func (j *Job) Urgency() catalog.Urgency {
	if j.Account != nil && j.Account.HasUrgency {
		return j.Account.Urgency
	}
	return j.Route.Urgency
}
