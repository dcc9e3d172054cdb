package forward

import "net/http"

// Sink is where an answer goes. An error means that the caller is gone.
type Sink interface {
	// Whole passes a whole answer on.
	Whole(status int, h http.Header, body []byte) error
	// Begin passes the head of a stream on.
	Begin(status int, h http.Header) error
	// Events passes whole events on at once.
	Events(b []byte) error
}
