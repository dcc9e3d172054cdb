package gateway

import (
	"net/http"

	"graniteknot.org/go/internal/unframed"
)

// WriteResponse implements forward.Sink.
func (x *exchange) WriteResponse(status int, h http.Header, body []byte) error {
	x.writeHead(status, h)
	_, err := x.w.Write(body)
	return err
}

// BeginStream implements forward.Sink.
func (x *exchange) BeginStream(status int, h http.Header) error {
	x.writeHead(status, h)
	return nil
}

// writeHead writes the head of a replica's response.
func (x *exchange) writeHead(status int, h http.Header) {
	x.responseComplete = unframed.Guard(x.r)
	x.gateway.Translator.Answer(h, x.w.Header())
	x.closeIfLeaving()
	x.suppressContentType()
	x.w.WriteHeader(status)
}

// closeIfLeaving tells the caller to send its next request on a connection to another gateway.
func (x *exchange) closeIfLeaving() {
	if x.gateway.leaving.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// suppressContentType keeps net/http from guessing a content type that the replica did not send.
func (x *exchange) suppressContentType() {
	if _, given := x.w.Header()["Content-Type"]; !given {
		x.w.Header()["Content-Type"] = nil
	}
}

// WriteEvents implements forward.Sink.
func (x *exchange) WriteEvents(b []byte) error {
	if _, err := x.w.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}
