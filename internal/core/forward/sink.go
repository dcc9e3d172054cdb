package forward

import "net/http"

// Sink writes a response to the client. An error means that the client is gone.
type Sink interface {
	// WriteResponse writes a complete response.
	WriteResponse(status int, h http.Header, body []byte) error
	// BeginStream writes the head of a stream.
	BeginStream(status int, h http.Header) error
	// WriteEvents writes complete events and flushes them.
	WriteEvents(b []byte) error
}
