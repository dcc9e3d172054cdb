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
	// Method, RequestURI and Host are the request line's and are passed on as they
	// are; Path is the target without its query.
	Method, RequestURI, Host, Path string
	// Header is what is passed on as it is.
	Header http.Header
	Body   []byte
	// APIKey proves the account; empty when the caller gave none.
	APIKey catalog.Secret
	// ReceivedAt is when the head was read; Deadline is zero when there is none.
	ReceivedAt, Deadline time.Time
	// LastEventID is the last event that the caller has; empty for none.
	LastEventID EventID
	// Size is zero when the caller tells none.
	Size catalog.Size
	// LengthHint is the caller's guess of the answer's length; 0 for none.
	LengthHint graniteknot.Tokens
}

// EventID names an event of a stream, in the words of the replica.
type EventID string

// RoutedRequest is a request with what the configuration says of it.
type RoutedRequest struct {
	*Request
	Route   *catalog.Route
	Account *catalog.Account
	Service *catalog.Service
	// RespondBy is when the request has to be answered: its deadline or the route's
	// timeout; zero when neither bounds it.
	RespondBy time.Time
}

// Urgency is the account's, or else the route's.
func (j *RoutedRequest) Urgency() catalog.Urgency {
	if j.Account != nil && j.Account.HasUrgency {
		return j.Account.Urgency
	}
	return j.Route.Urgency
}
