package catalog

import "time"

// Limits bound what a caller may send. Zero values bound nothing.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request.
	HeaderBytes, BodyBytes int
	// HeaderTime is how long a request's head may take.
	HeaderTime time.Duration
	// IdleTime is how long a connection may rest between requests.
	IdleTime time.Duration
}
