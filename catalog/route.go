package catalog

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// RouteKind is how often a request of a route may run.
type RouteKind uint8

// The kinds of routes. The zero value is the strictest.
const (
	// KindOnce requests run at most once for each try of the caller.
	KindOnce RouteKind = iota
	// KindRepeatable requests may run any number of times.
	KindRepeatable
	// KindStream responses are sequences of events.
	KindStream
)

var routeWords = [...]string{"once", "repeatable", "stream"}

// String returns the kind as logs and metrics show it.
func (k RouteKind) String() string { return routeWords[k] }

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service graniteknot.Service
	// Weight is relative to the sum of the route's weights; at least 0.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may be resumed at another replica.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout bounds the time to the end of the response; 0 is no bound.
	Timeout time.Duration
	// Aim is the latency target, to the first event of a stream; 0 is unknown.
	Aim time.Duration
	// GapAim is the longest pause between events that is still useful.
	GapAim time.Duration
	// Attempts is how many replicas a request is sent to at most; at least 1.
	Attempts int
	// Urgency orders requests, 0 first.
	Urgency Urgency
	// Regions are the regions whose replicas may get the requests; empty is all.
	Regions []Region
	// Shares is not empty.
	Shares []Share
}

// Urgency orders requests from 0, the most urgent, up.
type Urgency int

// Repeats reports whether a request of the route may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// sends reports whether a service gets some of the route's requests.
func (r *Route) sends(s graniteknot.Service) bool {
	for _, share := range r.Shares {
		if share.Service == s {
			return true
		}
	}
	return false
}

// Pick returns the service for a number that is evenly spread over uint64.
func (r *Route) Pick(random uint64) graniteknot.Service {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	if sum == 0 {
		return r.Shares[0].Service
	}
	at := int(random % uint64(sum))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
