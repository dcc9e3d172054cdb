package forward

import "net/http"

// Sink is where an answer goes. An error means that the caller is gone.
type Sink interface {
	// WriteResponse passes a whole answer on.
	WriteResponse(status int, h http.Header, body []byte) error
	// BeginStream passes the head of a stream on.
	BeginStream(status int, h http.Header) error
	// WriteEvents passes whole events on at once.
	WriteEvents(b []byte) error
}
