package forward

import (
	"fmt"
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Request is a client's request.
type Request struct {
	// ID is set by the client and forwarded unchanged.
	ID graniteknot.RequestID
	// Method, RequestURI and Host are forwarded unchanged; Path is RequestURI without
	// the query.
	Method, RequestURI, Host, Path string
	// Header holds the fields that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// APIKey authenticates the account; empty if the client sent none.
	APIKey catalog.Secret
	// ReceivedAt is when the head was read; Deadline is zero if the client set none.
	ReceivedAt, Deadline time.Time
	// LastEventID is the last event that the client has received; empty for none.
	LastEventID EventID
	// LastEventIDError is why the ID that the client sent is none; nil if it is one.
	LastEventIDError error
	// Size is zero if the client sent none.
	Size catalog.Size
	// Model names the model that the client asks for; empty if it names none.
	Model string
	// PromptParts are the parts of the prompt that other requests may share, in order; at most
	// MaxPromptParts.
	PromptParts []PromptPart
	// LengthHint is the client's estimate of the response's length; 0 for none.
	LengthHint graniteknot.Tokens
}

// MaxPromptParts is how many parts of a prompt are considered.
const MaxPromptParts = 64

// PromptPart identifies a part of a prompt by its hash and length.
type PromptPart struct {
	// ID is in lower-case hex digits.
	ID     string
	Tokens uint32
}

// String returns the form used in logs.
func (p PromptPart) String() string { return fmt.Sprintf("%s:%d", p.ID, p.Tokens) }

// EventID identifies an event of a stream; replicas define its format.
type EventID string

// RoutedRequest is a request with its route, account and service.
type RoutedRequest struct {
	*Request
	Route   *catalog.Route
	Account *catalog.Account
	Service *catalog.Service
	// RespondBy is the earlier of the client's deadline and the end of the route's
	// timeout; zero if there is neither.
	RespondBy time.Time
	// Returned reports whether the client was refused before and returned when it was told to.
	Returned bool
	// Promised reports whether it was also promised room then.
	Promised bool
}

// Urgency returns the account's urgency, or else the route's.
func (r *RoutedRequest) Urgency() catalog.Urgency {
	if r.Account != nil && r.Account.HasUrgency {
		return r.Account.Urgency
	}
	return r.Route.Urgency
}
