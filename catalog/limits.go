package catalog

import "time"

// Limits bound what a caller may send. Zero values are no bound.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request.
	HeaderBytes, BodyBytes int
	// HeaderTime bounds the time to receive a request's headers.
	HeaderTime time.Duration
	// IdleTime bounds the time that a connection is idle between requests.
	IdleTime time.Duration
}
